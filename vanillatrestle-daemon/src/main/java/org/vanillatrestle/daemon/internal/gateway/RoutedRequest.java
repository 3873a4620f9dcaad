package org.vanillatrestle.daemon.internal.gateway;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.util.concurrent.Future;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.Verdict;
import org.vanillatrestle.VmId;
import org.vanillatrestle.daemon.internal.http.ConnectionListener;
import org.vanillatrestle.daemon.internal.logging.EventKind;
import org.vanillatrestle.daemon.internal.pipeline.AnswerSink;
import org.vanillatrestle.daemon.internal.pipeline.CallerRequest;
import org.vanillatrestle.daemon.protocol.CallDetails;
import org.vanillatrestle.internal.declaration.DeclaredRoute;
import org.vanillatrestle.internal.gateway.Placement;
import org.vanillatrestle.internal.gateway.RemoteEntries;
import org.vanillatrestle.internal.gateway.RequestShape;
import org.vanillatrestle.internal.gateway.StartupWait;
import org.vanillatrestle.internal.gateway.TargetChoice;

/**
 * Processes one request on a declared route, from its arrival to its response.
 * <p>
 * Invariants: the request completes once. It is retried only if it certainly has not run
 * or the route allows repeats. An error that promises "not run" is returned only if no
 * attempt may have run. A request forwarded by another VM reaches at most one target
 * here, because the forwarding VM counts its attempts. Used only on the VM's event loop.
 */
final class RoutedRequest implements ConnectionListener {

	// the maximum number of attempts, including those that targets refused
	private static final int MAX_SENDS = 4;

	// the maximum wait for free capacity, as a share of the request's objective
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

	private final long arrivedNanos;

	private final long effectiveTimeoutMillis;

	private final Set<TargetId> triedTargets = new HashSet<>();

	private final Set<VmId> triedVms = new HashSet<>();

	private final ResponseRelay relay;

	private final RequestDecisionLog decisions = new RequestDecisionLog();

	private Verdict verdict = Verdict.NOT_RUN;

	private int sendCount;

	private int possibleRuns;

	private RoutedAttempt attempt;

	private Future<?> deadline;

	private Future<?> waitTimer;

	private Placement.Estimate localEstimate = Placement.Estimate.NONE;

	private Placement.Estimate remoteEstimate = Placement.Estimate.NONE;

	private long retryAfterMillis = -1;

	private boolean ended;

	private final ResponseTiming timing = new ResponseTiming();

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
		this.arrivedNanos = arrivedNanos;
		long requestedMillis = (details.deadlineMillis() >= 0) ? details.deadlineMillis() : route.timeoutMillis();
		this.effectiveTimeoutMillis = Math.min(requestedMillis, route.timeoutMillis());
		this.relay = new ResponseRelay(sink, route.isStreaming(), details.resumeAfterEvent(), context.responseMemory());
	}

	void start() {
		if (!this.forwarded) {
			this.context.retryBudget().recordRequest(this.shape.service().name(), this.arrivedNanos);
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
		Optional<TargetChoice> localChoice = this.route.allows(this.context.region())
				? this.context.targets().choose(this.shape, this.triedTargets, now) : Optional.empty();
		Optional<RemoteEntries.RemoteChoice> remoteChoice = this.forwarded ? Optional.empty()
				: this.context.remoteVms().choose(this.route, this.shape.service().name(), this.triedVms, now);
		this.localEstimate = localChoice
			.map((choice) -> new Placement.Estimate(choice.waitMillis(), choice.harmfulReadingShare()))
			.orElse(Placement.Estimate.NONE);
		this.remoteEstimate = remoteChoice.map(this::toEstimate).orElse(Placement.Estimate.NONE);
		Placement placement = Placement.decide(this.localEstimate, this.remoteEstimate, this.shape.maxReadingShare(),
				this.route.latencyObjectiveMillis(), this.context.targets().readMillis(this.shape), remainingMillis());
		switch (placement.action()) {
			case SERVE_LOCALLY -> sendToTarget(localChoice.get(), now);
			case FORWARD -> sendToRemoteVm(remoteChoice.get(), placement.expectedMillis());
			case QUEUE -> waitForCapacity();
			case REFUSE ->
				refuse(GatewayError.NO_CAPACITY, placement.expectedMillis() - this.route.latencyObjectiveMillis());
		}
	}

	private Placement.Estimate toEstimate(RemoteEntries.RemoteChoice choice) {
		return new Placement.Estimate(choice.waitMillis() + this.context.targets().readMillis(this.shape),
				choice.harmfulReadingShare());
	}

	private void waitForCapacity() {
		double maxWaitMillis = MAX_WAIT_OBJECTIVE_SHARE * this.route.latencyObjectiveMillis();
		OptionalLong reopenMillis = this.context.targets().reopensInMillis(this.shape.service(), System.nanoTime());
		if (reopenMillis.isPresent() && elapsedMillis() + reopenMillis.getAsLong() >= maxWaitMillis) {
			refuse((this.sendCount == 0) ? GatewayError.NO_CAPACITY : GatewayError.NOT_RUN, reopenMillis.getAsLong());
			return;
		}
		boolean hasTargets = this.context.targets().hasTarget(this.shape.service());
		long startupMillis = hasTargets ? 0
				: StartupWait.forTargetsMillis(this.context.uptimeMillis(), remainingMillis());
		if (elapsedMillis() < Math.max(startupMillis, maxWaitMillis)) {
			this.waitTimer = this.context.loop().schedule(this::place, PLACEMENT_RETRY_MILLIS, TimeUnit.MILLISECONDS);
			return;
		}
		refuse((this.sendCount == 0) ? GatewayError.NO_CAPACITY : GatewayError.NOT_RUN,
				this.route.latencyObjectiveMillis());
	}

	private void sendToTarget(TargetChoice choice, long now) {
		this.triedTargets.add(choice.target().id());
		this.sendCount++;
		this.decisions.addTargetChoice(choice, elapsedMillis(), remainingMillis());
		if (choice.target().report().limit().isFinite()) {
			this.context.telemetry().count("limited.sends", service());
		}
		this.attempt = RoutedAttempt.toTarget(this, this.context.targets().begin(choice, this.shape, now), choice);
		this.attempt.start();
		if (choice.unreadTokens() >= LARGE_PROMPT_TOKENS) {
			this.context.onLargeRequest().run();
		}
	}

	private void sendToRemoteVm(RemoteEntries.RemoteChoice choice, long expectedMillis) {
		this.triedVms.add(choice.vm());
		this.sendCount++;
		this.decisions.addRemoteChoice(choice, expectedMillis, this.localEstimate, elapsedMillis());
		this.context.telemetry().count("sent.away", service());
		this.attempt = RoutedAttempt.toVm(this, this.context.remoteVms().begin(choice), expectedMillis);
		this.attempt.start();
	}

	/**
	 * Retries or fails the request after an attempt ended without a response to deliver.
	 * @param attemptVerdict whether the request may have run in this attempt
	 * @param reachedTarget whether the attempt reached a target
	 * @param detail the cause of the failure, for the log
	 */
	void onAttemptFailed(Verdict attemptVerdict, boolean reachedTarget, String detail) {
		this.verdict = this.verdict.and(attemptVerdict);
		if (attemptVerdict != Verdict.NOT_RUN) {
			this.possibleRuns++;
		}
		this.decisions.add(EventKind.ATTEMPT_FAILED, elapsedMillis(), "at", this.attempt.destination(), "verdict",
				attemptVerdict, "detail", detail, "lastEvent", this.relay.lastEventId());
		if (this.ended) {
			return;
		}
		if (canRetry(attemptVerdict, reachedTarget)) {
			this.decisions.add(EventKind.RETRIED, elapsedMillis(), "sends", this.sendCount, "runs", this.possibleRuns,
					"budgetLeft",
					Math.floor(this.context.retryBudget().left(this.shape.service().name(), System.nanoTime())));
			this.context.telemetry().count("retries", service());
			place();
			return;
		}
		fail(GatewayError.TARGET_FAILED);
	}

	private boolean canRetry(Verdict attemptVerdict, boolean reachedTarget) {
		boolean allowed = attemptVerdict == Verdict.NOT_RUN || this.route.isRepeatable();
		if (this.forwarded && reachedTarget) {
			return false;
		}
		if (!allowed || this.sendCount >= MAX_SENDS || this.possibleRuns >= this.route.maxAttempts()
				|| remainingMillis() <= 0) {
			return false;
		}
		return !reachedTarget || this.context.retryBudget().tryRetry(this.shape.service().name(), System.nanoTime());
	}

	private void fail(GatewayError errorIfMayHaveRun) {
		if (this.relay.isStarted() || this.relay.hasStoredResponse()) {
			if (this.relay.isStarted()) {
				this.sink.abort();
			}
			else {
				this.relay.deliverStoredResponse();
			}
			finish(EventKind.FAILED, errorIfMayHaveRun.name());
			return;
		}
		if (this.verdict == Verdict.NOT_RUN) {
			refuse((errorIfMayHaveRun == GatewayError.TIMED_OUT) ? GatewayError.OUT_OF_TIME : GatewayError.NOT_RUN,
					MIN_RETRY_AFTER_MILLIS);
			return;
		}
		errorIfMayHaveRun.respond(this.sink, -1);
		finish(EventKind.FAILED, errorIfMayHaveRun.name());
	}

	private void refuse(GatewayError error, long retryAfterMillis) {
		if (this.relay.isStarted() || this.relay.hasStoredResponse() || this.verdict != Verdict.NOT_RUN) {
			fail(GatewayError.TARGET_FAILED);
			return;
		}
		long boundedMillis = Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(MAX_RETRY_AFTER_MILLIS, retryAfterMillis));
		this.retryAfterMillis = boundedMillis;
		error.respond(this.sink, boundedMillis);
		finish(EventKind.REFUSED, error.name());
	}

	// completes the request after its full response was delivered
	void onResponseDelivered() {
		if (!this.timing.hasFirstPart()) {
			this.timing.recordPart(elapsedMillis());
		}
		finish(EventKind.ANSWERED, "");
	}

	private void expire() {
		if (this.ended) {
			return;
		}
		if (this.attempt != null) {
			this.verdict = this.verdict.and(this.attempt.cancel());
		}
		fail(GatewayError.TIMED_OUT);
	}

	@Override
	public void disconnected() {
		if (this.ended) {
			return;
		}
		if (this.attempt != null) {
			this.attempt.cancel();
		}
		finish(EventKind.CALLER_GONE, "");
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
		long now = System.nanoTime();
		this.context.telemetry().recordCompletion(service(), outcome, reason, now - this.arrivedNanos);
		boolean isRoutine = outcome == EventKind.ANSWERED && this.sendCount == 1 && this.timing
			.isWithinObjectives(this.route.latencyObjectiveMillis(), this.route.pauseObjectiveMillis());
		if (outcome == EventKind.REFUSED) {
			this.decisions.addRefusal(this.localEstimate, this.remoteEstimate, this.retryAfterMillis, elapsedMillis());
		}
		if (!isRoutine) {
			this.decisions.writeTo(this.context.telemetry(), id());
		}
		this.context.telemetry()
			.log(outcome, "request", id(), "route", this.route.name(), "service", service(), "reason",
					reason.isEmpty() ? null : reason, "version", this.declarationVersion, "at",
					(this.attempt != null) ? this.attempt.destination() : null, "sends", this.sendCount, "verdict",
					this.verdict, "millis", elapsedMillis(), "firstPartMillis", this.timing.firstPartMillis(),
					"longestPauseMillis", this.timing.longestPauseMillis(), "leftMillis", this.effectiveTimeoutMillis,
					"tokens", this.shape.promptTokens(), "forwarded", this.forwarded);
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

	ResponseRelay relay() {
		return this.relay;
	}

	boolean isEnded() {
		return this.ended;
	}

	/**
	 * Checks whether another attempt may follow an error response of a target.
	 * @return whether the route allows repeats and attempts are left
	 */
	boolean hasAttemptsLeft() {
		return !this.forwarded && this.route.isRepeatable() && this.possibleRuns + 1 < this.route.maxAttempts()
				&& this.sendCount < MAX_SENDS;
	}

	/**
	 * Checks whether the request may switch away from a target that makes no progress.
	 * @return whether an attempt, retry budget and another destination are available
	 */
	boolean canSwitchTarget() {
		long now = System.nanoTime();
		if (!hasAttemptsLeft() || this.context.retryBudget().left(this.shape.service().name(), now) < 1) {
			return false;
		}
		return this.context.remoteVms().choose(this.route, this.shape.service().name(), this.triedVms, now).isPresent()
				|| (this.route.allows(this.context.region())
						&& this.context.targets().choose(this.shape, this.triedTargets, now).isPresent());
	}

	String id() {
		return this.details.requestId();
	}

	private String service() {
		return this.shape.service().name().value();
	}

	long remainingMillis() {
		return this.effectiveTimeoutMillis - elapsedMillis();
	}

	private long elapsedMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.arrivedNanos);
	}

	void onPartSent() {
		if (!this.timing.hasFirstPart()) {
			this.context.telemetry().recordFirstPart(service(), System.nanoTime() - this.arrivedNanos);
		}
		this.timing.recordPart(elapsedMillis());
	}

}
