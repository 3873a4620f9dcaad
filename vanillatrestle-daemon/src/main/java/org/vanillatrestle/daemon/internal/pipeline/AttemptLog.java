package org.vanillatrestle.daemon.internal.pipeline;

import java.util.HashSet;
import java.util.Set;
import java.util.function.LongSupplier;

import org.vanillatrestle.RegionId;
import org.vanillatrestle.Repeat;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.Verdict;
import org.vanillatrestle.internal.policy.RequestPolicy;
import org.vanillatrestle.internal.request.Attempt;
import org.vanillatrestle.internal.request.AttemptOutcome;
import org.vanillatrestle.internal.request.Placement;
import org.vanillatrestle.internal.request.PolicyRequest;

/**
 * Asks the policy about the attempts of one request and tells it what became of them.
 * <p>
 * A target is never placed twice; a request is forwarded at most once. Used on the VM's
 * event loop.
 */
final class AttemptLog {

	private final Exchange exchange;

	private final RequestPolicy policy;

	private final LongSupplier clockNanos;

	private final Set<TargetId> tried = new HashSet<>();

	private boolean forwardTried;

	AttemptLog(Exchange exchange, RequestPolicy policy, LongSupplier clockNanos) {
		this.exchange = exchange;
		this.policy = policy;
		this.clockNanos = clockNanos;
	}

	LongSupplier clockNanos() {
		return this.clockNanos;
	}

	long nowNanos() {
		return this.clockNanos.getAsLong();
	}

	private PolicyRequest request() {
		return this.exchange.ticket().request();
	}

	Placement place() {
		boolean mayForward = !this.exchange.isForwarded() && !this.forwardTried;
		return this.policy.place(request(), this.tried, mayForward, nowNanos());
	}

	Attempt begin(Placement placement) {
		if (placement instanceof Placement.Local local) {
			this.tried.add(local.target().target());
		}
		if (placement instanceof Placement.Forward forward) {
			this.forwardTried = true;
			noteRegion(forward.region());
		}
		return this.policy.dispatched(this.exchange.ticket(), placement, nowNanos());
	}

	private void noteRegion(RegionId region) {
		if (!region.equals(this.exchange.caller().home())) {
			this.exchange.sentAway();
		}
	}

	void firstByte(Attempt attempt) {
		this.policy.firstByte(attempt, nowNanos());
	}

	void finished(Attempt attempt, AttemptOutcome outcome, int tokens) {
		this.policy.finished(attempt, outcome, tokens, nowNanos());
		this.exchange.addUsedTokens(tokens);
	}

	/**
	 * Asks for another attempt.
	 * @param verdict the verdict of the attempts so far together
	 * @return the delay in nanoseconds, or -1 if no other attempt may be made
	 */
	long retryDelayNanos(Verdict verdict) {
		if (!verdict.permitsRepeat(this.exchange.call().repeat())) {
			return -1;
		}
		int attempts = this.exchange.attempts();
		if (!this.policy.mayRetry(request(), verdict, attempts, nowNanos())) {
			return -1;
		}
		long delayNanos = this.policy.backoffNanos(attempts);
		return (nowNanos() + delayNanos < this.exchange.deadlineNanos()) ? delayNanos : -1;
	}

	/**
	 * Returns how long to wait for the first byte of an attempt.
	 * @return nanoseconds; the whole deadline for calls that must not be repeated
	 */
	long firstByteTimeoutNanos() {
		if (this.exchange.call().repeat() == Repeat.AT_MOST_ONCE) {
			return this.exchange.deadlineNanos() - nowNanos();
		}
		return this.policy.firstByteTimeoutNanos(request(), nowNanos());
	}

}
