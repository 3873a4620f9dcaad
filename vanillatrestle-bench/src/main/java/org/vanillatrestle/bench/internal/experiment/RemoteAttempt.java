package org.vanillatrestle.bench.internal.experiment;

import java.util.List;

import org.vanillatrestle.Verdict;
import org.vanillatrestle.internal.request.Attempt;
import org.vanillatrestle.internal.request.AttemptOutcome;
import org.vanillatrestle.internal.request.Placement;
import org.vanillatrestle.internal.request.Ticket;

/**
 * One attempt that is sent to a VM of another region, told to the policy.
 * <p>
 * Not thread safe.
 */
final class RemoteAttempt {

	private static final int SMALL_BYTES = 500;

	private final PolicyRouter router;

	private final SimulatedRequest request;

	private final Attempt attempt;

	private final String region;

	private final Job.Listener listener;

	private boolean over;

	private Runnable cancelRemote = () -> {
	};

	RemoteAttempt(PolicyRouter router, SimulatedRequest request, Ticket ticket, Placement.Forward placement,
			Job.Listener listener) {
		this.router = router;
		this.request = request;
		this.listener = listener;
		this.region = placement.region().value();
		this.attempt = router.policy().attemptStarted(ticket, placement, router.now());
	}

	void start() {
		long price = this.router.world().deployment().linkPriceMicrosPerMegabyte();
		this.router.world()
			.outcomes()
			.cost(this.request, price * (this.request.requestBytes() + this.request.answerBytes()) / 1_000_000);
		send(this.router.region(), this.region, this.request.requestBytes(), this::deliver);
	}

	void cancel() {
		if (end(AttemptOutcome.CANCELLED)) {
			this.router.world()
				.network()
				.send(this.router.region(), this.region, SMALL_BYTES, () -> this.cancelRemote.run(), () -> {
				});
		}
	}

	private void deliver() {
		if (this.over) {
			return;
		}
		List<Router> receivers = this.router.world().routers(this.region);
		PolicyRouter receiver = (PolicyRouter) receivers.get(this.router.world().random().nextInt(receivers.size()));
		this.cancelRemote = receiver.receive(this.request, new Reply());
	}

	private void send(String from, String to, long bytes, Runnable action) {
		this.router.world().network().send(from, to, bytes, action, () -> fail(Verdict.MAY_HAVE_RUN, false));
	}

	private void fail(Verdict verdict, boolean refused) {
		if (end(refused ? AttemptOutcome.REFUSED : AttemptOutcome.FAILED)) {
			this.listener.failed(verdict, refused);
		}
	}

	private boolean end(AttemptOutcome outcome) {
		if (this.over) {
			return false;
		}
		this.over = true;
		this.router.policy().attemptFinished(this.attempt, outcome, 0, this.router.now());
		return true;
	}

	private final class Reply implements Job.Listener {

		@Override
		public void first(boolean prefixHit) {
			reply(SMALL_BYTES, () -> {
				if (!RemoteAttempt.this.over) {
					RemoteAttempt.this.listener.first(prefixHit);
				}
			});
		}

		@Override
		public void done(int tokens) {
			reply(RemoteAttempt.this.request.answerBytes(), () -> {
				if (end(AttemptOutcome.COMPLETED)) {
					RemoteAttempt.this.listener.done(tokens);
				}
			});
		}

		@Override
		public void failed(Verdict verdict, boolean refused) {
			reply(SMALL_BYTES, () -> fail(verdict, refused));
		}

		private void reply(long bytes, Runnable action) {
			send(RemoteAttempt.this.region, RemoteAttempt.this.router.region(), bytes, action);
		}

	}

}
