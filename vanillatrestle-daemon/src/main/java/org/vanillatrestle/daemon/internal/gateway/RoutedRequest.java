package org.vanillatrestle.daemon.internal.gateway;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import io.netty.util.concurrent.Future;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.Verdict;
import org.vanillatrestle.daemon.internal.http.ConnectionListener;
import org.vanillatrestle.daemon.internal.logging.EventKind;
import org.vanillatrestle.daemon.internal.pipeline.AnswerSink;
import org.vanillatrestle.daemon.internal.pipeline.CallerRequest;
import org.vanillatrestle.daemon.internal.pipeline.HeaderNames;
import org.vanillatrestle.daemon.protocol.CallDetails;
import org.vanillatrestle.internal.declaration.DeclaredRoute;
import org.vanillatrestle.internal.gateway.Placement;
import org.vanillatrestle.internal.gateway.RequestShape;
import org.vanillatrestle.internal.gateway.StartupWait;
import org.vanillatrestle.internal.quarantine.Admission;

/**
 * Processes one request on a declared route, from its arrival to its response.
 * <p>
 * Invariants: the request completes once. It is retried only if it certainly has not run
 * or the route allows repeats. An error that promises "not run" is returned only if no
 * attempt may have run. A request forwarded by another VM reaches at most one target
 * here, because the forwarding VM counts its attempts. Used only on the VM's event loop.
 */
final class RoutedRequest implements ConnectionListener {

	private static final double MAX_WAIT_OBJECTIVE_SHARE = 0.12;

	private static final long PLACEMENT_RETRY_MILLIS = 25;

	private static final long MIN_RETRY_AFTER_MILLIS = 250;

	private static final long MAX_RETRY_AFTER_MILLIS = 3_000;

	private final GatewayContext context;

	private final DeclaredRoute route;

	private final long declarationVersion;

	private final RequestShape shape;

	private final CallerRequest request;

	private final CallDetails details;

	private final AnswerSink sink;

	private final boolean forwarded;

	private final RequestClock clock;

	private final AttemptHistory attempts;

	private final ResponseRelay relay;

	private final RequestRecorder recorder;

	private final RetryGate retryGate;

	private final AttemptHandover handover;

	private final AttemptFactory attemptFactory;

	private Future<?> deadline;

	private PlacementPlan plan = PlacementPlan.NONE;

	private long retryAfterMillis = -1;

	private boolean ended;

	RoutedRequest(GatewayContext context, DeclaredRoute route, long declarationVersion, RequestShape shape,
			CallerRequest request, CallDetails details, AnswerSink sink, boolean forwarded, long arrivedNanos) {
		this.context = context;
		this.route = route;
		this.declarationVersion = declarationVersion;
		this.shape = shape;
		this.request = request;
		this.details = details;
		this.sink = sink;
		this.forwarded = forwarded;
		long requestedMillis = (details.deadlineMillis() >= 0) ? details.deadlineMillis() : route.timeoutMillis();
		this.clock = new RequestClock(arrivedNanos, Math.min(requestedMillis, route.timeoutMillis()));
		this.attempts = new AttemptHistory(route.maxAttempts());
		this.recorder = new RequestRecorder(context, route, shape, details.requestId(), this.clock, this.attempts,
				forwarded);
		this.retryGate = new RetryGate(context, route, shape, this.attempts, this.clock, forwarded,
				this.recorder.decisions());
		this.relay = new ResponseRelay(sink, route.isStreaming(), details.resumeAfterEvent(), context.responseMemory());
		this.handover = new AttemptHandover(this);
		this.attemptFactory = new AttemptFactory(this);
	}

	void start() {
		if (this.forwarded) {
			this.attempts.excludeTargets(RemoteError.split(this.request.header(HeaderNames.TRIED_TARGETS)));
		}
		else {
			this.context.retryBudget().recordRequest(this.shape.service().name(), this.clock.arrivedNanos());
		}
		this.deadline = this.context.loop()
			.schedule(this::expire, Math.max(1, remainingMillis()), TimeUnit.MILLISECONDS);
		place();
	}

	private void place() {
		if (this.ended) {
			return;
		}
		long now = System.nanoTime();
		Admission admission = this.context.quarantine().admit(this.shape, now);
		if (!isPromptProven() && admission.action() == Admission.Action.REFUSE) {
			refuseSuspended(admission);
			return;
		}
		if (!isPromptProven() && admission.action() == Admission.Action.WAIT
				&& this.clock.elapsedMillis() < maxWaitMillis()) {
			placeLater();
			return;
		}
		this.plan = choosePlan(admission, Optional.empty(), 0);
		Placement placement = isBegun()
				? this.plan.decideForBegunAnswer(this.context, this.route, this.shape, remainingMillis())
				: this.plan.decide(this.context, this.route, this.shape, remainingMillis());
		if (placement.hasPlace() && !this.retryGate.maySend(isBegun())) {
			waitForCapacity();
			return;
		}
		switch (placement.action()) {
			case SERVE_LOCALLY, FORWARD ->
				this.handover.begin(this.attemptFactory.create(this.plan, placement, admission, now));
			case QUEUE -> waitForCapacity();
			case REFUSE ->
				refuse(GatewayError.NO_CAPACITY, placement.expectedMillis() - this.route.latencyObjectiveMillis());
		}
	}

	// here, or at the VM that forwarded the request
	private boolean isBegun() {
		return this.relay.isStarted()
				|| (this.forwarded && this.route.isStreaming() && this.details.resumeAfterEvent() >= 0);
	}

	// an engine that has begun to answer has read the prompt and was not crashed by it
	private boolean isPromptProven() {
		return isBegun() && !this.attempts.hasBrokenStart();
	}

	private void waitForCapacity() {
		if (isBegun() && this.recorder.isCallerPatient()
				&& (!this.forwarded || PlacementPlan.hasUntriedTarget(this.context, this.shape, this.attempts))) {
			placeLater();
			return;
		}
		OptionalLong reopenMillis = this.context.targets().reopensInMillis(this.shape.service(), System.nanoTime());
		if (reopenMillis.isPresent() && this.clock.elapsedMillis() + reopenMillis.getAsLong() >= maxWaitMillis()) {
			refuse((this.attempts.sendCount() == 0) ? GatewayError.NO_CAPACITY : GatewayError.NOT_RUN,
					reopenMillis.getAsLong());
			return;
		}
		long startupMillis = this.context.targets().hasTarget(this.shape.service()) ? 0
				: StartupWait.forTargetsMillis(this.context.uptimeMillis(), remainingMillis());
		if (this.clock.elapsedMillis() < Math.max(startupMillis, maxWaitMillis())) {
			placeLater();
			return;
		}
		refuse((this.attempts.sendCount() == 0) ? GatewayError.NO_CAPACITY : GatewayError.NOT_RUN,
				this.route.latencyObjectiveMillis());
	}

	private double maxWaitMillis() {
		return MAX_WAIT_OBJECTIVE_SHARE * this.route.latencyObjectiveMillis();
	}

	private void placeLater() {
		this.context.loop().schedule(this::place, PLACEMENT_RETRY_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Starts another attempt beside one that makes no progress, if the request may have
	 * one and a place is free. The check and the start follow the same plan.
	 */
	void startReplacement() {
		if (this.ended || this.handover.hasReplacement() || !this.retryGate.mayReplace(1)) {
			return;
		}
		long now = System.nanoTime();
		Admission admission = this.context.quarantine().admit(this.shape, now);
		if (!isPromptProven() && admission.isHeldBack()) {
			return;
		}
		PlacementPlan replacementPlan = choosePlan(admission, this.handover.unansweredRegion(), 1);
		Placement placement = replacementPlan.decide(this.context, this.route, this.shape, remainingMillis());
		if (!placement.hasPlace() || !this.retryGate.tryReplace(this.handover.targetRequest())) {
			return;
		}
		this.plan = replacementPlan;
		this.context.telemetry().count("retries", service());
		this.attempts.recordArrival();
		this.handover.beginReplacement(this.attemptFactory.create(this.plan, placement, admission, now));
	}

	/**
	 * Withdraws a replacement that makes no progress either, if another one may follow.
	 */
	void onReplacementStalled() {
		if (this.retryGate.mayReplace(2)) {
			this.handover.giveReplacementUp();
		}
	}

	boolean mayOtherAttemptAnswer() {
		return this.handover.hasReplacement() || this.retryGate.hasAttemptsLeftAfterRun();
	}

	private PlacementPlan choosePlan(Admission admission, Optional<RegionId> avoided, int running) {
		boolean mayForward = !this.forwarded && (isPromptProven() || admission.action() != Admission.Action.PROBE
				|| !PlacementPlan.isServedInRegion(this.context, this.route, this.shape));
		return PlacementPlan.choose(this.context, this.route, this.shape, this.attempts, mayForward, avoided, running);
	}

	/**
	 * Retries or fails the request after an attempt ended without a response to deliver.
	 * @param attempt the attempt
	 * @param failure the failure of the attempt
	 */
	void onAttemptFailed(RoutedAttempt attempt, AttemptFailure failure) {
		recordFailure(attempt, failure);
		retryOrFail(attempt, failure);
	}

	void recordFailure(RoutedAttempt attempt, AttemptFailure failure) {
		this.attempts.recordFailure(failure, attempt.target(), isBegun());
		this.recorder.attemptFailed(failure, attempt, this.relay.lastEventId());
	}

	// unless another attempt is in progress
	void retryOrFail(RoutedAttempt attempt, AttemptFailure failure) {
		if (this.ended || !this.handover.isLastInProgress(attempt)) {
			return;
		}
		if (this.retryGate.tryRetry(failure, attempt, isBegun())) {
			this.context.telemetry().count("retries", service());
			place();
			return;
		}
		fail(GatewayError.TARGET_FAILED, CutCause.RETRY_DENIED);
	}

	private void fail(GatewayError errorIfMayHaveRun, CutCause cutCause) {
		if (this.relay.isStarted()) {
			this.recorder.answerCut(cutCause, this.plan, this.handover);
		}
		if (this.relay.endIncomplete()) {
			finish(EventKind.FAILED, errorIfMayHaveRun.name());
			return;
		}
		if (this.attempts.verdict() == Verdict.NOT_RUN) {
			refuse((errorIfMayHaveRun == GatewayError.TIMED_OUT) ? GatewayError.OUT_OF_TIME : GatewayError.NOT_RUN,
					MIN_RETRY_AFTER_MILLIS);
			return;
		}
		respond(errorIfMayHaveRun, -1);
		finish(EventKind.FAILED, errorIfMayHaveRun.name());
	}

	private void refuseSuspended(Admission admission) {
		this.recorder.decisions().addSuspension(admission, this.clock.elapsedMillis());
		respondNotRun(GatewayError.PART_SUSPENDED, admission.retryAfterMillis());
	}

	private void refuse(GatewayError error, long retryAfterMillis) {
		respondNotRun(error, Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(MAX_RETRY_AFTER_MILLIS, retryAfterMillis)));
	}

	private void respondNotRun(GatewayError error, long millisUntilRetry) {
		if (this.relay.isStarted() || this.relay.hasStoredResponse() || this.attempts.verdict() != Verdict.NOT_RUN) {
			fail(GatewayError.TARGET_FAILED, CutCause.NOT_PLACED);
			return;
		}
		this.retryAfterMillis = millisUntilRetry;
		respond(error, millisUntilRetry);
		finish(EventKind.REFUSED, error.name());
	}

	private void respond(GatewayError error, long millisUntilRetry) {
		if (this.forwarded) {
			boolean hasMoreTargets = error == GatewayError.NOT_RUN && PlacementPlan
				.choose(this.context, this.route, this.shape, this.attempts, false, Optional.empty(), 0)
				.hasDestination();
			error.respondToVm(this.sink, millisUntilRetry, this.attempts.reachedTargets(), hasMoreTargets);
			return;
		}
		error.respond(this.sink, millisUntilRetry);
	}

	void onResponseDelivered() {
		this.handover.recordProgress();
		this.recorder.responseDelivered();
		finish(EventKind.ANSWERED, "");
	}

	private void expire() {
		if (this.ended) {
			return;
		}
		this.attempts.recordVerdict(this.handover.cancel());
		fail(GatewayError.TIMED_OUT, CutCause.DEADLINE);
	}

	@Override
	public void disconnected() {
		if (this.ended) {
			return;
		}
		this.handover.cancel();
		finish(EventKind.CALLER_GONE, this.forwarded ? "FORWARDING_VM" : "");
	}

	@Override
	public void writabilityChanged() {
		this.handover.setReading(this.sink.isWritable());
	}

	private void finish(EventKind outcome, String reason) {
		this.ended = true;
		this.relay.close();
		this.deadline.cancel(false);
		if (outcome == EventKind.REFUSED) {
			this.recorder.decisions()
				.addRefusal(this.plan.local(), this.plan.remote(), this.retryAfterMillis, this.clock.elapsedMillis());
		}
		this.recorder.finish(outcome, reason, this.handover.destination(), this.declarationVersion);
	}

	GatewayContext context() {
		return this.context;
	}

	CallerRequest request() {
		return this.request;
	}

	DeclaredRoute route() {
		return this.route;
	}

	RequestShape shape() {
		return this.shape;
	}

	AttemptHistory attempts() {
		return this.attempts;
	}

	ResponseRelay relay() {
		return this.relay;
	}

	AttemptHandover handover() {
		return this.handover;
	}

	boolean isForwarded() {
		return this.forwarded;
	}

	boolean isCallerWritable() {
		return this.sink.isWritable();
	}

	RequestRecorder recorder() {
		return this.recorder;
	}

	boolean isEnded() {
		return this.ended;
	}

	String id() {
		return this.details.requestId();
	}

	private String service() {
		return this.shape.service().name().value();
	}

	long remainingMillis() {
		return this.clock.remainingMillis();
	}

}
