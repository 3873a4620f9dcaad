package org.vanillatrestle.daemon.internal.gateway;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import io.netty.util.concurrent.Future;
import org.vanillatrestle.Verdict;
import org.vanillatrestle.daemon.internal.http.ConnectionListener;
import org.vanillatrestle.daemon.internal.logging.EventKind;
import org.vanillatrestle.daemon.internal.pipeline.AnswerSink;
import org.vanillatrestle.daemon.internal.pipeline.CallerRequest;
import org.vanillatrestle.daemon.internal.pipeline.HeaderNames;
import org.vanillatrestle.daemon.protocol.CallDetails;
import org.vanillatrestle.internal.declaration.DeclaredRoute;
import org.vanillatrestle.internal.gateway.Placement;
import org.vanillatrestle.internal.gateway.RemoteEntries;
import org.vanillatrestle.internal.gateway.RequestShape;
import org.vanillatrestle.internal.gateway.StartupWait;
import org.vanillatrestle.internal.gateway.TargetChoice;
import org.vanillatrestle.internal.quarantine.Admission;
import org.vanillatrestle.internal.quarantine.PromptStart;

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

	// From this many unread prompt tokens on, the load is reported to other VMs at once:
	// several more requests arrive while an engine reads that many.
	private static final long LARGE_PROMPT_TOKENS = 4_000;

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

	private RoutedAttempt attempt;

	private Future<?> deadline;

	private Future<?> waitTimer;

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
		this.waitTimer = null;
		if (this.ended) {
			return;
		}
		long now = System.nanoTime();
		Admission admission = this.context.quarantine().admit(this.shape, now);
		if (admission.action() == Admission.Action.REFUSE) {
			refuseSuspended(admission);
			return;
		}
		if (admission.action() == Admission.Action.WAIT && this.clock.elapsedMillis() < maxWaitMillis()) {
			placeLater();
			return;
		}
		boolean mayForward = !this.forwarded && (admission.action() != Admission.Action.PROBE
				|| !PlacementPlan.isServedInRegion(this.context, this.route, this.shape));
		this.plan = PlacementPlan.choose(this.context, this.route, this.shape, this.attempts, mayForward);
		Placement placement = Placement.decide(this.plan.local(), this.plan.remote(), this.shape.maxReadingShare(),
				this.route.latencyObjectiveMillis(), this.context.targets().readMillis(this.shape), remainingMillis());
		switch (placement.action()) {
			case SERVE_LOCALLY -> sendToTarget(this.plan.target().get(), admission, now);
			case FORWARD -> sendToRemoteVm(this.plan.vm().get(), placement.expectedMillis());
			case QUEUE -> waitForCapacity();
			case REFUSE ->
				refuse(GatewayError.NO_CAPACITY, placement.expectedMillis() - this.route.latencyObjectiveMillis());
		}
	}

	private void waitForCapacity() {
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
		this.waitTimer = this.context.loop().schedule(this::place, PLACEMENT_RETRY_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void sendToTarget(TargetChoice choice, Admission admission, long now) {
		countRepeat();
		this.attempts.recordSend(choice.target().id());
		this.recorder.decisions().addTargetChoice(choice, this.clock.elapsedMillis(), remainingMillis());
		if (choice.target().report().limit().isFinite()) {
			this.context.telemetry().count("limited.sends", service());
		}
		this.recorder.decisions().addProbe(admission, this.clock.elapsedMillis());
		PromptStart promptStart = this.context.quarantine().send(this.shape, admission, now);
		this.attempt = RoutedAttempt.toTarget(this, this.context.targets().begin(choice, this.shape, now), promptStart,
				choice);
		this.attempt.start();
		if (choice.unreadTokens() >= LARGE_PROMPT_TOKENS) {
			this.context.onLargeRequest().run();
		}
	}

	// at the VM that the caller asked, so that the sum over all VMs is what targets see
	private void countRepeat() {
		if (this.attempts.hasArrived()) {
			this.context.telemetry().count("repeats", service());
		}
	}

	private void sendToRemoteVm(RemoteEntries.RemoteChoice choice, long expectedMillis) {
		countRepeat();
		this.attempts.recordSend(choice.vm());
		this.recorder.decisions()
			.addRemoteChoice(choice, expectedMillis, this.plan.local(), this.clock.elapsedMillis());
		this.context.telemetry().count("sent.away", service());
		this.attempt = RoutedAttempt.toVm(this, this.context.remoteVms().begin(choice), expectedMillis);
		this.attempt.start();
	}

	/**
	 * Retries or fails the request after an attempt ended without a response to deliver.
	 * @param failure the failure of the attempt
	 */
	void onAttemptFailed(AttemptFailure failure) {
		recordFailure(failure);
		retryOrFail(failure);
	}

	/**
	 * Notes that an attempt ended without a response to deliver.
	 * @param failure the failure of the attempt
	 */
	void recordFailure(AttemptFailure failure) {
		this.attempts.recordFailure(failure);
		this.recorder.attemptFailed(failure, this.attempt.destination(), this.relay.lastEventId());
	}

	/**
	 * Retries or fails the request after a failed attempt.
	 * @param failure the failure of the attempt
	 */
	void retryOrFail(AttemptFailure failure) {
		if (this.ended) {
			return;
		}
		if (this.retryGate.tryRetry(failure)) {
			this.context.telemetry().count("retries", service());
			place();
			return;
		}
		fail(GatewayError.TARGET_FAILED, CutCause.RETRY_DENIED);
	}

	private void fail(GatewayError errorIfMayHaveRun, CutCause cutCause) {
		if (this.relay.isStarted()) {
			this.recorder.answerCut(cutCause, this.plan);
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
			boolean hasMoreTargets = error == GatewayError.NOT_RUN
					&& PlacementPlan.choose(this.context, this.route, this.shape, this.attempts, false)
						.hasDestination();
			error.respondToVm(this.sink, millisUntilRetry, this.attempts.reachedTargets(), hasMoreTargets);
			return;
		}
		error.respond(this.sink, millisUntilRetry);
	}

	void onResponseDelivered() {
		this.recorder.responseDelivered();
		finish(EventKind.ANSWERED, "");
	}

	private void expire() {
		if (this.ended) {
			return;
		}
		if (this.attempt != null) {
			this.attempts.recordVerdict(this.attempt.cancel());
		}
		fail(GatewayError.TIMED_OUT, CutCause.DEADLINE);
	}

	@Override
	public void disconnected() {
		if (this.ended) {
			return;
		}
		if (this.attempt != null) {
			this.attempt.cancel();
		}
		finish(EventKind.CALLER_GONE, this.forwarded ? "FORWARDING_VM" : "");
	}

	@Override
	public void writabilityChanged() {
		if (this.attempt != null) {
			this.attempt.setReading(this.sink.isWritable());
		}
	}

	private void finish(EventKind outcome, String reason) {
		this.ended = true;
		this.relay.close();
		this.deadline.cancel(false);
		if (this.waitTimer != null) {
			this.waitTimer.cancel(false);
		}
		if (outcome == EventKind.REFUSED) {
			this.recorder.decisions()
				.addRefusal(this.plan.local(), this.plan.remote(), this.retryAfterMillis, this.clock.elapsedMillis());
		}
		this.recorder.finish(outcome, reason, (this.attempt != null) ? this.attempt.destination() : null,
				this.declarationVersion);
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

	RequestRecorder recorder() {
		return this.recorder;
	}

	boolean isEnded() {
		return this.ended;
	}

	RetryGate retryGate() {
		return this.retryGate;
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

	void onPartSent() {
		this.recorder.partSent();
	}

}
