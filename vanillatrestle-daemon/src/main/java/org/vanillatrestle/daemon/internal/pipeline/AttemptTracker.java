package org.vanillatrestle.daemon.internal.pipeline;

import java.util.HashSet;
import java.util.Optional;
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
import org.vanillatrestle.internal.request.RefusalReason;
import org.vanillatrestle.internal.retry.RetryDenial;

/**
 * Obtains placements for the attempts of one request from the policy and reports the
 * outcomes of the attempts to it.
 * <p>
 * No target is tried twice as far as this VM knows. A request is forwarded at most once,
 * except for the rest of an answer that has begun. The attempts of all VMs together stay
 * within the policy's maximum. Used on the VM's event loop.
 */
final class AttemptTracker {

	private final Exchange exchange;

	private final RequestPolicy policy;

	private final LongSupplier clockNanos;

	private final Set<TargetId> triedTargets = new HashSet<>();

	private boolean forwardTried;

	private boolean forwardMayHaveRun;

	private boolean begun;

	AttemptTracker(Exchange exchange, RequestPolicy policy, LongSupplier clockNanos) {
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

	private PolicyRequest policyRequest() {
		return this.exchange.ticket().request();
	}

	Placement findPlacement() {
		return this.policy.choosePlacement(policyRequest(), this.triedTargets, canForward(), nowNanos());
	}

	private boolean canForward() {
		return !this.exchange.isForwarded() && !this.forwardTried;
	}

	/**
	 * Chooses a place for the rest of an answer that has begun. It may be forwarded once
	 * more, as the link to the VM that held it may be lost.
	 * @return the placement; {@code None} if no place is there now
	 */
	Placement findPlacementForRest() {
		boolean mayForward = !this.exchange.isForwarded();
		return this.policy.choosePlacementForRest(policyRequest(), this.triedTargets, mayForward, nowNanos());
	}

	/**
	 * Returns the number that an attempt is sent with. A data centre that gets the
	 * request after another one is told of all attempts that may have been made there.
	 * @param placement where the attempt is sent
	 * @return the number, starting at 1
	 */
	int attemptNumber(Placement placement) {
		int number = this.exchange.attempts();
		return (placement instanceof Placement.Forward && this.forwardMayHaveRun)
				? this.policy.retries().attemptsAfterForward(number - 1) + 1 : number;
	}

	/**
	 * Chooses a place for another attempt beside one that is silent, and charges the
	 * retry. Nothing is charged unless a target is free now.
	 * @param silent the silent attempt
	 * @param verdict the combined verdict of all attempts so far, the silent one included
	 * @return the placement; {@code None} to wait for the silent attempt
	 */
	Placement findReplacement(Attempt silent, Verdict verdict) {
		this.forwardMayHaveRun |= silent.placement() instanceof Placement.Forward;
		boolean granted = verdict.permitsRepeat(this.exchange.call().repeat())
				&& this.policy.hasFreePlace(this.exchange.ticket(), nowNanos());
		Placement placement = granted ? findPlacement() : new Placement.None(RefusalReason.NO_TARGET, 0);
		if (placement instanceof Placement.None || tryAcquireRetry(verdict)) {
			return placement;
		}
		return new Placement.None(RefusalReason.OVERLOAD, 0);
	}

	Attempt begin(Placement placement) {
		if (placement instanceof Placement.Local local) {
			this.triedTargets.add(local.target().target());
		}
		if (placement instanceof Placement.Forward forward) {
			this.forwardTried = true;
			recordRegion(forward.region());
		}
		return this.policy.attemptStarted(this.exchange.ticket(), placement, nowNanos());
	}

	private void recordRegion(RegionId region) {
		if (!region.equals(this.exchange.caller().homeRegion())) {
			this.exchange.markSentToOtherRegion();
		}
	}

	void firstByteReceived(Attempt attempt) {
		this.policy.firstByteReceived(attempt, nowNanos());
	}

	void attemptFinished(Attempt attempt, AttemptOutcome outcome, int tokens) {
		this.policy.attemptFinished(attempt, outcome, tokens, nowNanos());
		this.exchange.addUsedTokens(tokens);
	}

	void attemptFailed(Attempt attempt, AttemptOutcome outcome, Verdict verdict, int tokens) {
		attemptFinished(attempt, outcome, tokens);
		this.forwardMayHaveRun |= attempt.placement() instanceof Placement.Forward && verdict != Verdict.NOT_RUN;
	}

	/**
	 * Notes that the caller has a part of the answer.
	 */
	void answerBegan() {
		if (!this.begun) {
			this.begun = true;
			this.policy.retries().answerBegan(policyRequest());
		}
	}

	/**
	 * Notes that no further attempt follows.
	 */
	void ended() {
		if (this.begun) {
			this.begun = false;
			this.policy.retries().begunAnswerEnded(policyRequest());
		}
	}

	/**
	 * Charges a retry, if the request may have one.
	 * @param verdict the combined verdict of all attempts so far
	 * @return why no further attempt may be made, or empty if the retry is charged
	 */
	Optional<RetryDenial> acquireRetry(Verdict verdict) {
		return this.policy.retries().acquireRetry(policyRequest(), verdict, attemptsAtAllVms(), this.begun, nowNanos());
	}

	/**
	 * Returns how long to wait before the next attempt.
	 * @return the delay in nanoseconds, or -1 if the deadline passes before
	 */
	long retryDelayNanos() {
		long delayNanos = this.policy.retries().backoffNanos(attemptsAtAllVms());
		return (nowNanos() + delayNanos < this.exchange.deadlineNanos()) ? delayNanos : -1;
	}

	private boolean tryAcquireRetry(Verdict verdict) {
		return this.policy.tryAcquireRetry(policyRequest(), verdict, attemptsAtAllVms(), nowNanos());
	}

	private int attemptsAtAllVms() {
		int attempts = this.exchange.attempts();
		return this.forwardMayHaveRun ? this.policy.retries().attemptsAfterForward(attempts) : attempts;
	}

	/**
	 * Returns how long to wait for the first byte of an attempt's answer.
	 * @return the timeout in nanoseconds; the time left until the deadline for calls that
	 * must not be repeated
	 */
	long firstByteTimeoutNanos() {
		if (this.exchange.call().repeat() == Repeat.AT_MOST_ONCE) {
			return this.exchange.deadlineNanos() - nowNanos();
		}
		return this.policy.firstByteTimeoutNanos(policyRequest(), nowNanos());
	}

}
