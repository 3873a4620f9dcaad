package org.vanillatrestle.bench.internal.experiment;

import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;
import org.vanillatrestle.Repeat;

/**
 * Open-loop Poisson arrivals; a request's start never waits for an earlier answer.
 * <p>
 * The same seed gives the same requests to every policy. Not thread safe.
 */
final class LoadGenerator {

	private static final double SECOND_NANOS = 1e9;

	private static final int MIN_ANSWER_TOKENS = 5;

	private static final int MAX_ANSWER_FACTOR = 4;

	private final World world;

	private final Scene scene;

	private final long seed;

	LoadGenerator(World world, Scene scene) {
		this.world = world;
		this.scene = scene;
		this.seed = world.random().nextLong();
	}

	void start() {
		int index = 0;
		for (Scene.RegionLoad load : this.scene.loads()) {
			UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(this.seed + index++);
			ZigguratSampler.Exponential gaps = ZigguratSampler.Exponential.of(random);
			next(load, random, gaps, 0);
		}
	}

	private void next(Scene.RegionLoad load, UniformRandomProvider random, ZigguratSampler.Exponential gaps,
			double fromSeconds) {
		double peak = load.maxRequestsPerSecond() * (100 + this.world.deployment().workload().plainPercent()) / 100;
		double atSeconds = fromSeconds;
		do {
			atSeconds += gaps.sample() / peak;
			if (atSeconds >= this.scene.seconds()) {
				return;
			}
		}
		while (random.nextDouble() * load.maxRequestsPerSecond() > load.requestsPerSecond(atSeconds));
		double arrivalSeconds = atSeconds;
		this.world.loop().at((long) (atSeconds * SECOND_NANOS), () -> {
			send(request(load.region(), random, gaps));
			next(load, random, gaps, arrivalSeconds);
		});
	}

	private SimulatedRequest request(String home, UniformRandomProvider random, ZigguratSampler.Exponential gaps) {
		Deployment deployment = this.world.deployment();
		Deployment.Workload workload = deployment.workload();
		long nowNanos = this.world.loop().nowNanos();
		long deadlineNanos = nowNanos + deployment.deadlineNanos();
		boolean plain = random.nextInt(100 + workload.plainPercent()) < workload.plainPercent();
		if (plain) {
			Repeat repeat = (random.nextInt(10) < 7) ? Repeat.IDEMPOTENT : Repeat.AT_MOST_ONCE;
			return new SimulatedRequest(true, home, nowNanos, deadlineNanos, random.nextInt(100), 0, 0, 0, 0, repeat);
		}
		int promptTokens = workload.promptTokens() / 2 + random.nextInt(workload.promptTokens());
		int answerTokens = (int) Math.min(workload.answerTokens() * MAX_ANSWER_FACTOR,
				MIN_ANSWER_TOKENS + gaps.sample() * workload.answerTokens());
		double skewed = random.nextDouble();
		long prefix = 1 + (long) (workload.prefixes() * skewed * skewed) + 1_000L * home.hashCode();
		return new SimulatedRequest(false, home, nowNanos, deadlineNanos, promptTokens, answerTokens,
				workload.answerTokens() * MAX_ANSWER_FACTOR, prefix, promptTokens * workload.prefixPercent() / 100,
				Repeat.IDEMPOTENT);
	}

	private void send(SimulatedRequest request) {
		List<Router> entries = this.world.routers(request.home());
		Router router = entries.get((int) (Math.abs(request.intendedNanos() / 1_000) % entries.size()));
		this.world.outcomes().offered(request);
		this.world.loop().after(this.world.deployment().clientDelayNanos(), () -> router.arrive(request));
	}

}
