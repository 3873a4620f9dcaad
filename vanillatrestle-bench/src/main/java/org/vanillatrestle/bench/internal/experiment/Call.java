package org.vanillatrestle.bench.internal.experiment;

import org.vanillatrestle.Verdict;

/**
 * One attempt from a VM at a target over the network.
 * <p>
 * Its listener hears of one end at most, and of nothing after {@link #cancel()}. Not
 * thread safe.
 */
final class Call implements Job.Listener {

	private static final int FIRST_BYTES = 500;

	private final World world;

	private final String region;

	private final FakeTarget target;

	private final Job job;

	private final Job.Listener listener;

	private boolean over;

	Call(World world, String region, FakeTarget target, SimulatedRequest request, Job.Listener listener) {
		this.world = world;
		this.region = region;
		this.target = target;
		this.listener = listener;
		this.job = new Job(request, this);
	}

	void start() {
		this.world.network()
			.send(this.region, this.target.region(), this.job.request().requestBytes(), this::submit,
					() -> end(() -> this.listener.failed(Verdict.MAY_HAVE_RUN, false)));
	}

	void cancel() {
		if (this.over) {
			return;
		}
		this.over = true;
		this.world.network().send(this.region, this.target.region(), FIRST_BYTES, () -> {
			if (!this.job.ended()) {
				this.target.cancel(this.job);
				charge(this.job.tokens());
			}
		}, () -> {
		});
	}

	private void submit() {
		if (!this.over) {
			this.target.submit(this.job);
		}
	}

	@Override
	public void first(boolean prefixHit) {
		reply(FIRST_BYTES, () -> {
			if (!this.over) {
				this.listener.first(prefixHit);
			}
		});
	}

	@Override
	public void done(int tokens) {
		charge(tokens);
		reply(this.job.request().answerBytes(), () -> end(() -> this.listener.done(tokens)));
	}

	@Override
	public void failed(Verdict verdict, boolean refused) {
		reply(FIRST_BYTES, () -> end(() -> this.listener.failed(verdict, refused)));
	}

	private void charge(int tokens) {
		if (tokens > 0 || this.job.request().plain()) {
			this.world.outcomes().cost(this.job.request(), this.target.priceMicros(this.job.request(), tokens));
		}
	}

	private void reply(long bytes, Runnable action) {
		this.world.network()
			.send(this.target.region(), this.region, bytes, action,
					() -> end(() -> this.listener.failed(Verdict.MAY_HAVE_RUN, false)));
	}

	private void end(Runnable action) {
		if (!this.over) {
			this.over = true;
			action.run();
		}
	}

}
