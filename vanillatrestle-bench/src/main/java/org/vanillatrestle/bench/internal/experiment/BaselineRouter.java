package org.vanillatrestle.bench.internal.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.apache.commons.rng.UniformRandomProvider;
import org.vanillatrestle.ServiceKind;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.internal.target.Announcement;

/**
 * An entry VM that follows a baseline: it sees the announcements of all targets, sends at
 * once, and retries up to twice without a budget.
 * <p>
 * Not thread safe.
 */
final class BaselineRouter implements Router {

	private static final long TTL_NANOS = 5_000_000_000L;

	private static final int MAX_ATTEMPTS = 3;

	private final World world;

	private final String region;

	private final BaselineRule rule;

	private final UniformRandomProvider random;

	private final Map<TargetId, Heard> heard = new TreeMap<>();

	private int turn;

	BaselineRouter(World world, String region, BaselineRule rule) {
		this.world = world;
		this.region = region;
		this.rule = rule;
		this.random = world.random();
		this.turn = this.random.nextInt(1_000);
	}

	@Override
	public String region() {
		return this.region;
	}

	@Override
	public void start() {
	}

	@Override
	public void announced(Announcement announcement) {
		this.heard.put(announcement.target(), new Heard(announcement, this.world.loop().nowNanos()));
	}

	@Override
	public void arrive(SimulatedRequest request) {
		new BaselineFlight(request).next();
	}

	int nextTurn(int size) {
		this.turn = (this.turn + 1) % 1_000_000;
		return this.turn % size;
	}

	UniformRandomProvider random() {
		return this.random;
	}

	private List<Announcement> candidates(Flight flight) {
		ServiceKind kind = flight.request().plain() ? ServiceKind.PLAIN : ServiceKind.MODEL;
		List<Announcement> result = new ArrayList<>();
		for (Heard entry : this.heard.values()) {
			Announcement announcement = entry.announcement;
			boolean live = this.world.loop().nowNanos() - entry.atNanos <= TTL_NANOS;
			boolean near = !this.rule.homeOnly() || announcement.dataCentre().value().equals(this.region + "-1");
			if (live && near && announcement.kind() == kind && !flight.tried().contains(announcement.target())) {
				result.add(announcement);
			}
		}
		return result;
	}

	private record Heard(Announcement announcement, long atNanos) {

	}

	private final class BaselineFlight extends Flight {

		BaselineFlight(SimulatedRequest request) {
			super(BaselineRouter.this.world, request);
		}

		@Override
		void next() {
			List<Announcement> candidates = candidates(this);
			if (candidates.isEmpty()) {
				lose(false);
				return;
			}
			FakeTarget target = world()
				.target(BaselineRouter.this.rule.choose(BaselineRouter.this, candidates).target());
			tried().add(target.id());
			Call call = new Call(world(), BaselineRouter.this.region, target, request(), new FlightListener(this));
			attempt(!target.region().equals(BaselineRouter.this.region), call::cancel);
			call.start();
		}

		@Override
		void failed(boolean refused) {
			if (attempts() < MAX_ATTEMPTS && verdict().permitsRepeat(request().repeat())) {
				next();
				return;
			}
			lose(false);
		}

		@Override
		void ended() {
		}

	}

}
