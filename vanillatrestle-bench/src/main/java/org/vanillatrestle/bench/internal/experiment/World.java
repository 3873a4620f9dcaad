package org.vanillatrestle.bench.internal.experiment;

import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.internal.target.Announcement;

/**
 * One run: a deployment under one scene with one policy and seed.
 * <p>
 * Not thread safe.
 */
final class World {

	private static final long SECOND_NANOS = 1_000_000_000L;

	private static final long REPORT_LAG_NANOS = 300_000_000;

	private final EventLoop loop = new EventLoop();

	private final Deployment deployment;

	private final Network network;

	private final Outcomes outcomes;

	private final UniformRandomProvider random;

	private final List<FakeTarget> targets = new ArrayList<>();

	private final List<Router> routers = new ArrayList<>();

	World(Deployment deployment, PolicyKind policy, long seed, long warmUpNanos) {
		this.deployment = deployment;
		this.network = new Network(this.loop, deployment);
		this.outcomes = new Outcomes(warmUpNanos);
		this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
		for (Deployment.RegionPlan region : deployment.regions()) {
			for (Deployment.TargetPlan plan : region.targets()) {
				for (int i = 0; i < plan.count(); i++) {
					this.targets.add(new FakeTarget(this.loop, deployment.customer(), region.name(), plan, i));
				}
			}
		}
		for (Deployment.RegionPlan region : deployment.regions()) {
			for (int i = 0; i < region.vms(); i++) {
				this.routers.add(policy.router(this, region.name(), i));
			}
		}
		this.routers.forEach(Router::start);
		announceAll();
		this.targets.forEach((target) -> this.loop.every(SECOND_NANOS, this.random.nextLong(SECOND_NANOS),
				() -> announce(target, REPORT_LAG_NANOS)));
	}

	EventLoop loop() {
		return this.loop;
	}

	Deployment deployment() {
		return this.deployment;
	}

	Network network() {
		return this.network;
	}

	Outcomes outcomes() {
		return this.outcomes;
	}

	UniformRandomProvider random() {
		return this.random;
	}

	List<Router> routers() {
		return this.routers;
	}

	List<Router> routers(String region) {
		return this.routers.stream().filter((router) -> router.region().equals(region)).toList();
	}

	FakeTarget target(TargetId id) {
		return this.targets.stream().filter((target) -> target.id().equals(id)).findFirst().orElseThrow();
	}

	RunResult run(Scene scene, long warmUpNanos) {
		LoadGenerator generator = new LoadGenerator(this, scene);
		generator.start();
		scene.faults().forEach(this::schedule);
		long endNanos = scene.seconds() * SECOND_NANOS + this.deployment.deadlineNanos() + SECOND_NANOS;
		this.loop.runUntil(endNanos);
		double seconds = scene.seconds() - warmUpNanos / (double) SECOND_NANOS;
		return this.outcomes.result(seconds, this.network.sentBytes());
	}

	private void schedule(Scene.Fault fault) {
		long beginNanos = (long) (fault.atSeconds() * SECOND_NANOS);
		long endNanos = beginNanos + (long) (fault.seconds() * SECOND_NANOS);
		if (fault.kind() == FaultKind.LINK_CUT) {
			String[] ends = fault.where().split(">");
			this.loop.at(beginNanos, () -> this.network.cut(ends[0], ends[1], true));
			this.loop.at(endNanos, () -> this.network.cut(ends[0], ends[1], false));
			return;
		}
		for (FakeTarget target : this.targets) {
			if (target.id().value().startsWith(fault.where())) {
				this.loop.at(beginNanos, () -> fault.kind().begin(target, fault.factor()));
				this.loop.at(endNanos, () -> fault.kind().end(target));
			}
		}
	}

	private void announceAll() {
		this.targets.forEach((target) -> announce(target, 0));
	}

	private void announce(FakeTarget target, long lagNanos) {
		if (!target.alive()) {
			return;
		}
		Announcement announcement = target.announcement();
		this.loop.after(lagNanos, () -> {
			for (Router router : this.routers) {
				this.network.send(target.region(), router.region(), 0, () -> router.announced(announcement), () -> {
				});
			}
		});
	}

}
