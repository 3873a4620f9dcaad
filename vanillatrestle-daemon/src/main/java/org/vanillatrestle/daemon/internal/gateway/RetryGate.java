package org.vanillatrestle.daemon.internal.gateway;

import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;

import org.vanillatrestle.Verdict;
import org.vanillatrestle.daemon.internal.logging.EventKind;
import org.vanillatrestle.internal.declaration.DeclaredRoute;
import org.vanillatrestle.internal.gateway.InFlightRequest;
import org.vanillatrestle.internal.gateway.RequestShape;
import org.vanillatrestle.internal.gateway.RetryBudget;
import org.vanillatrestle.internal.quarantine.Admission;

/**
 * Decides whether one request may be sent again after a failed attempt, and records the
 * decision.
 * <p>
 * Invariant: each attempt that may have reached a target and is followed by another one
 * is charged to the retry budget of the VM that the caller asked. Used only on the VM's
 * event loop.
 */
final class RetryGate {

	private final GatewayContext context;

	private final DeclaredRoute route;

	private final RequestShape shape;

	private final AttemptHistory attempts;

	private final RequestClock clock;

	private final boolean forwarded;

	private final RequestDecisionLog decisions;

	// of the last retry that was charged, empty if there was none
	private OptionalLong grantedNanos = OptionalLong.empty();

	RetryGate(GatewayContext context, DeclaredRoute route, RequestShape shape, AttemptHistory attempts,
			RequestClock clock, boolean forwarded, RequestDecisionLog decisions) {
		this.context = context;
		this.route = route;
		this.shape = shape;
		this.attempts = attempts;
		this.clock = clock;
		this.forwarded = forwarded;
		this.decisions = decisions;
	}

	/**
	 * Requests permission to send the request again. A permitted retry is charged to the
	 * budget if the failed attempt may have reached a target.
	 * @param failure the failure of the last attempt
	 * @param attempt the last attempt
	 * @param begun whether the caller has a part of the answer
	 * @return whether another attempt may follow
	 */
	boolean tryRetry(AttemptFailure failure, RoutedAttempt attempt, boolean begun) {
		RetryBudget.State budget = budgetFor(purpose(begun));
		Optional<Denial> denial = findDenial(failure, begun);
		record(failure.cause(), denial, failure.reachedTarget() ? "charged" : "free", budget, attempt.targetRequest());
		return denial.isEmpty();
	}

	private void record(AttemptFailure.Cause cause, Optional<Denial> denial, String granted, RetryBudget.State budget,
			Optional<InFlightRequest> targetRequest) {
		String outcome = denial.map(Denial::label).orElse(granted);
		this.decisions.addWithTarget(denial.isEmpty() ? EventKind.RETRIED : EventKind.RETRY_DENIED,
				this.clock.elapsedMillis(), targetRequest, "cause", cause.label(), "outcome", outcome, "sends",
				this.attempts.sendCount(), "runs", this.attempts.possibleRuns(), "budgetLeft",
				Math.floor(budget.left()), "requests", budget.requests(), "retries", budget.retries(), "vms",
				budget.vmCount());
		this.context.telemetry().countRetry(this.shape.service().name().value(), cause.label(), outcome);
	}

	private Optional<Denial> findDenial(AttemptFailure failure, boolean begun) {
		if (failure.verdict() != Verdict.NOT_RUN && !this.route.isRepeatable()) {
			return Optional.of(Denial.MAY_HAVE_RUN);
		}
		if (this.forwarded && failure.reachedTarget()) {
			return Optional.of(Denial.FORWARDED);
		}
		if (!this.attempts.hasAttemptsLeft()) {
			return Optional.of(Denial.ATTEMPTS);
		}
		if (this.clock.remainingMillis() <= 0) {
			return Optional.of(Denial.DEADLINE);
		}
		if ((!begun || this.attempts.hasBrokenStart()) && isSuspended()) {
			return Optional.of(Denial.SUSPENDED);
		}
		boolean isGranted = !failure.reachedTarget() || tryCharge(purpose(begun));
		return isGranted ? Optional.empty() : Optional.of(Denial.BUDGET);
	}

	private static RetryBudget.Purpose purpose(boolean begun) {
		return begun ? RetryBudget.Purpose.BEGUN_ANSWER : RetryBudget.Purpose.OTHER;
	}

	private RetryBudget.State budgetFor(RetryBudget.Purpose purpose) {
		return this.context.retryBudget().state(this.shape.service().name(), purpose, System.nanoTime());
	}

	private boolean tryCharge(RetryBudget.Purpose purpose) {
		long now = System.nanoTime();
		boolean isGranted = this.context.retryBudget().tryRetry(this.shape.service().name(), purpose, now);
		if (isGranted) {
			this.grantedNanos = OptionalLong.of(now);
		}
		return isGranted;
	}

	/**
	 * Requests permission to send the permitted retry now, for which a place may have
	 * been found long after it was charged.
	 * @param begun whether the caller has a part of the answer
	 * @return whether it may be sent, which is always so if nothing was charged
	 */
	boolean maySend(boolean begun) {
		if (this.grantedNanos.isEmpty()) {
			return true;
		}
		OptionalLong renewed = this.context.retryBudget()
			.tryRenew(this.shape.service().name(), purpose(begun), this.grantedNanos.getAsLong(), System.nanoTime());
		if (renewed.isPresent()) {
			this.grantedNanos = renewed;
		}
		return renewed.isPresent();
	}

	private boolean isSuspended() {
		return this.context.quarantine().admit(this.shape, System.nanoTime()).action() == Admission.Action.REFUSE;
	}

	/**
	 * Checks whether another attempt may follow an error response of a target.
	 * @return whether the route allows repeats and attempts are left
	 */
	boolean hasAttemptsLeftAfterRun() {
		return !this.forwarded && this.route.isRepeatable() && this.attempts.hasAttemptsLeftAfterRun();
	}

	/**
	 * Checks whether a replacement may be started beside attempts that make no progress.
	 * @param inProgress the number of attempts in progress
	 * @return whether an attempt and retry budget are left
	 */
	boolean mayReplace(int inProgress) {
		return !this.forwarded && this.route.isRepeatable() && this.attempts.mayReplace(inProgress)
				&& budgetFor(RetryBudget.Purpose.OTHER).left() >= 1;
	}

	/**
	 * Charges a replacement of an attempt that makes no progress to the retry budget.
	 * @param targetRequest the attempt's request, empty if it was sent to another VM
	 * @return whether the replacement may be started
	 */
	boolean tryReplace(Optional<InFlightRequest> targetRequest) {
		RetryBudget.State budget = budgetFor(RetryBudget.Purpose.OTHER);
		boolean isGranted = tryCharge(RetryBudget.Purpose.OTHER);
		record(AttemptFailure.Cause.STALLED, isGranted ? Optional.empty() : Optional.of(Denial.BUDGET), "charged",
				budget, targetRequest);
		return isGranted;
	}

	/**
	 * Why a request is not sent again.
	 */
	private enum Denial {

		/** The request may have run and must not be repeated. */
		MAY_HAVE_RUN,

		/** Only the VM that the caller asked repeats what has reached a target. */
		FORWARDED,

		/** No attempt is left. */
		ATTEMPTS,

		/** No time is left. */
		DEADLINE,

		/** A part of the prompt is suspended. */
		SUSPENDED,

		/** The retry budget is used up. */
		BUDGET;

		private final String label = "denied-" + name().toLowerCase(Locale.ROOT).replace('_', '-');

		String label() {
			return this.label;
		}

	}

}
