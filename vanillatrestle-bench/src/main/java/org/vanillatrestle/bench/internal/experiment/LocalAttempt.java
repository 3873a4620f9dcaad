package org.vanillatrestle.bench.internal.experiment;

import org.vanillatrestle.Verdict;
import org.vanillatrestle.internal.request.Attempt;
import org.vanillatrestle.internal.request.AttemptOutcome;
import org.vanillatrestle.internal.request.Placement;
import org.vanillatrestle.internal.request.Ticket;

/**
 * One attempt of a VM at a target of its own data centre, told to the policy.
 * <p>
 * Not thread safe.
 */
final class LocalAttempt implements Job.Listener {

	private final PolicyRouter router;

	private final Attempt attempt;

	private final Call call;

	private final Job.Listener listener;

	private boolean over;

	LocalAttempt(PolicyRouter router, SimulatedRequest request, Ticket ticket, Placement.Local placement,
			Job.Listener listener) {
		this.router = router;
		this.listener = listener;
		this.attempt = router.policy().attemptStarted(ticket, placement, router.now());
		FakeTarget target = router.world().target(placement.target().target());
		this.call = new Call(router.world(), router.region(), target, request, this);
		long timeoutNanos = router.policy().firstByteTimeoutNanos(ticket.request(), router.now());
		router.world().loop().after(timeoutNanos, this::timeOut);
	}

	void start() {
		this.call.start();
	}

	void cancel() {
		end(AttemptOutcome.CANCELLED, 0);
		this.call.cancel();
	}

	private void timeOut() {
		if (!this.attempt.isFirstByteReceived() && end(AttemptOutcome.TIMED_OUT, 0)) {
			this.call.cancel();
			this.listener.failed(Verdict.MAY_HAVE_RUN, false);
		}
	}

	@Override
	public void first(boolean prefixHit) {
		this.router.policy().firstByteReceived(this.attempt, this.router.now());
		this.listener.first(prefixHit);
	}

	@Override
	public void done(int tokens) {
		if (end(AttemptOutcome.COMPLETED, tokens)) {
			this.listener.done(tokens);
		}
	}

	@Override
	public void failed(Verdict verdict, boolean refused) {
		if (end(outcome(verdict, refused), 0)) {
			this.listener.failed(verdict, refused);
		}
	}

	private static AttemptOutcome outcome(Verdict verdict, boolean refused) {
		if (refused) {
			return AttemptOutcome.REFUSED;
		}
		return (verdict == Verdict.NOT_RUN) ? AttemptOutcome.UNREACHABLE : AttemptOutcome.FAILED;
	}

	private boolean end(AttemptOutcome outcome, int tokens) {
		if (this.over) {
			return false;
		}
		this.over = true;
		this.router.policy().attemptFinished(this.attempt, outcome, tokens, this.router.now());
		this.router.startReady();
		return true;
	}

}
