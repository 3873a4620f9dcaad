package org.vanillatrestle.daemon.internal.gateway;

import java.util.Optional;

import org.vanillatrestle.daemon.internal.logging.EventKind;
import org.vanillatrestle.internal.declaration.DeclaredRoute;
import org.vanillatrestle.internal.gateway.GatewayTarget;
import org.vanillatrestle.internal.gateway.InFlightRequest;
import org.vanillatrestle.internal.gateway.Placement;
import org.vanillatrestle.internal.gateway.RemoteEntries;
import org.vanillatrestle.internal.gateway.RequestShape;
import org.vanillatrestle.internal.gateway.StreamPatience;
import org.vanillatrestle.internal.gateway.TargetChoice;
import org.vanillatrestle.internal.quarantine.Admission;

/**
 * Records what happens to one request: the decisions made for it, the timing of its
 * answer and its outcome, in the log and the metrics.
 * <p>
 * Used only on the VM's event loop.
 */
final class RequestRecorder {

	private final GatewayContext context;

	private final DeclaredRoute route;

	private final RequestShape shape;

	private final String requestId;

	private final RequestClock clock;

	private final AttemptHistory attempts;

	private final boolean forwarded;

	private final RequestDecisionLog decisions = new RequestDecisionLog();

	private final ResponseTiming timing = new ResponseTiming();

	private boolean begun;

	RequestRecorder(GatewayContext context, DeclaredRoute route, RequestShape shape, String requestId,
			RequestClock clock, AttemptHistory attempts, boolean forwarded) {
		this.context = context;
		this.route = route;
		this.shape = shape;
		this.requestId = requestId;
		this.clock = clock;
		this.attempts = attempts;
		this.forwarded = forwarded;
	}

	RequestDecisionLog decisions() {
		return this.decisions;
	}

	void partSent() {
		if (!this.timing.hasFirstPart()) {
			this.context.telemetry().recordFirstPart(service(), this.clock.elapsedNanos());
			recordBegun();
		}
		this.timing.recordPart(this.clock.elapsedMillis());
	}

	// the VM that the caller asked pays for the retries
	private void recordBegun() {
		this.begun = !this.forwarded;
		if (this.begun) {
			this.context.retryBudget().answerBegan(this.shape.service().name(), System.nanoTime());
		}
	}

	void responseDelivered() {
		if (!this.timing.hasFirstPart()) {
			this.timing.recordPart(this.clock.elapsedMillis());
		}
	}

	/**
	 * Checks whether the caller still waits for the next event of a stream, as far as its
	 * route tells.
	 * @return whether the stream has not been silent for too long
	 */
	boolean isCallerPatient() {
		return this.clock.elapsedMillis() - this.timing.lastPartMillis() < StreamPatience.of(this.route).callerMillis();
	}

	void placed(TargetChoice choice, Admission admission) {
		this.decisions.addTargetChoice(choice, this.clock.elapsedMillis(), this.clock.remainingMillis());
		this.decisions.addProbe(admission, this.clock.elapsedMillis());
	}

	void forwarded(RemoteEntries.RemoteChoice choice, long expectedMillis, Placement.Estimate local) {
		this.decisions.addRemoteChoice(choice, expectedMillis, local, this.clock.elapsedMillis());
	}

	void attemptFailed(AttemptFailure failure, RoutedAttempt attempt, long lastEventId) {
		this.decisions.addWithTarget(EventKind.ATTEMPT_FAILED, this.clock.elapsedMillis(), attempt.targetRequest(),
				"at", attempt.destination(), "verdict", failure.verdict(), "reachedTarget", failure.reachedTarget(),
				"endedBy", failure.endedBy().label(), "detail", failure.detail(), "lastEvent", lastEventId);
	}

	/**
	 * Records that an attempt makes no progress. If other answers of its target do, the
	 * target has preempted or delayed this one.
	 * @param targetRequest the attempt's request, empty if it was sent to another VM
	 * @param destination the target or VM
	 * @param stalledMillis the time without progress
	 */
	void stalled(Optional<InFlightRequest> targetRequest, String destination, long stalledMillis) {
		if (targetRequest.isEmpty()) {
			this.context.telemetry().countStall(service(), "vm");
			this.decisions.add(EventKind.ATTEMPT_STALLED, this.clock.elapsedMillis(), "at", destination,
					"stalledMillis", stalledMillis, "parts", this.timing.parts());
			return;
		}
		GatewayTarget target = targetRequest.get().target();
		long silentMillis = target.silentMillis(System.nanoTime());
		this.context.telemetry().countStall(service(), (silentMillis < stalledMillis) ? "request" : "target");
		this.decisions.add(EventKind.ATTEMPT_STALLED, this.clock.elapsedMillis(), "at", destination, "stalledMillis",
				stalledMillis, "targetSilentMillis", silentMillis, "inFlight", target.totalLoad().requests(),
				"cacheTokens", target.totalLoad().cacheTokens(), "parts", this.timing.parts());
	}

	/**
	 * Records what becomes of a replacement of an attempt that makes no progress.
	 * @param event the event
	 * @param destination the target or VM of the replacement
	 * @param replaced the target or VM of the attempt that makes no progress
	 */
	void replacement(EventKind event, String destination, String replaced) {
		this.decisions.add(event, this.clock.elapsedMillis(), "at", destination, "replaced", replaced, "sends",
				this.attempts.sendCount(), "runs", this.attempts.possibleRuns(), "parts", this.timing.parts());
	}

	/**
	 * Records that an answer is broken off after it has begun.
	 * @param cause why it is not continued
	 * @param plan the estimates of the last placement
	 * @param last the attempts, of which the current one was the last
	 */
	void answerCut(CutCause cause, PlacementPlan plan, AttemptHandover last) {
		this.context.telemetry().countCut(service(), cause.label());
		this.decisions.addWithTarget(EventKind.ANSWER_CUT, this.clock.elapsedMillis(), last.targetRequest(), "cause",
				cause.label(), "at", last.destination(), "silentMillis",
				this.clock.elapsedMillis() - this.timing.lastPartMillis(), "localWaitMillis",
				plan.local().loggedWaitMillis(), "localStrain", plan.local().harmfulReadingShare(), "remoteWaitMillis",
				plan.remote().loggedWaitMillis(), "remoteStrain", plan.remote().harmfulReadingShare(), "parts",
				this.timing.parts(), "remainingMillis", this.clock.remainingMillis());
	}

	/**
	 * Records the request's outcome. The decisions are logged unless the request was
	 * answered in time by its first attempt.
	 * @param outcome the outcome
	 * @param reason the reason for a refusal or failure, empty if there is none
	 * @param destination the target or VM of the last attempt, {@code null} if there was
	 * none
	 * @param declarationVersion the version of the declaration that the request follows
	 */
	void finish(EventKind outcome, String reason, String destination, long declarationVersion) {
		if (this.begun) {
			this.context.retryBudget().begunAnswerEnded(this.shape.service().name(), System.nanoTime());
		}
		this.context.telemetry().recordCompletion(service(), outcome, reason, this.clock.elapsedNanos());
		this.context.telemetry().recordSize(this.shape, outcome);
		boolean isRoutine = outcome == EventKind.ANSWERED && this.attempts.sendCount() == 1 && this.timing
			.isWithinObjectives(this.route.latencyObjectiveMillis(), this.route.pauseObjectiveMillis());
		if (!isRoutine) {
			this.decisions.writeTo(this.context.telemetry(), this.requestId);
		}
		this.context.telemetry()
			.log(outcome, "request", this.requestId, "route", this.route.name(), "service", service(), "reason",
					reason.isEmpty() ? null : reason, "version", declarationVersion, "at", destination, "sends",
					this.attempts.sendCount(), "verdict", this.attempts.verdict(), "millis", this.clock.elapsedMillis(),
					"firstPartMillis", this.timing.firstPartMillis(), "longestPauseMillis",
					this.timing.longestPauseMillis(), "parts", this.timing.parts(), "meanPauseMillis",
					this.timing.meanPauseMillis(), "leftMillis", this.clock.timeoutMillis(), "tokens",
					this.shape.promptTokens(), "maxOutputTokens", this.shape.maxOutputTokens(), "forwarded",
					this.forwarded);
	}

	private String service() {
		return this.shape.service().name().value();
	}

}
