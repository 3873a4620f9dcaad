package org.vanillatrestle.daemon.internal.gateway;

import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.Verdict;
import org.vanillatrestle.daemon.internal.pipeline.AnswerHead;
import org.vanillatrestle.daemon.internal.pipeline.AttemptHandle;
import org.vanillatrestle.daemon.internal.pipeline.AttemptListener;
import org.vanillatrestle.daemon.internal.pipeline.HeaderNames;
import org.vanillatrestle.daemon.internal.target.TargetRequest;
import org.vanillatrestle.daemon.protocol.GatewayProtocol;
import org.vanillatrestle.internal.gateway.InFlightRequest;
import org.vanillatrestle.internal.gateway.RemoteEntries;
import org.vanillatrestle.internal.gateway.TargetChoice;
import org.vanillatrestle.internal.quarantine.PromptStart;
import org.vanillatrestle.internal.target.TargetAddress;

/**
 * One attempt to serve a request, sent to a target in this region or to an entry VM in
 * another region.
 * <p>
 * Used only on the VM's event loop.
 */
final class RoutedAttempt implements AttemptListener {

	private final RoutedRequest request;

	private final TargetAddress address;

	private final Optional<InFlightRequest> targetRequest;

	private final Optional<PromptStart> promptStart;

	private final Optional<RemoteEntries.RemoteRequest> remoteRequest;

	private final Optional<TargetAddress> copyFrom;

	// for a target that had this request before, and may answer it twice
	private final boolean freshConnection;

	private final String destination;

	private final ProgressMonitor progress;

	private AttemptHandle handle;

	// null until the head of the response has arrived
	private AttemptResponse response;

	// the head of a replacement that has not taken over yet
	private AnswerHead unrelayedHead;

	// whether the response can't be delivered, whatever its body is
	private boolean bodyDiscarded;

	private boolean done;

	private final AttemptFailureRecorder failures;

	private final ReplacementBuffer buffer;

	private RoutedAttempt(RoutedRequest request, TargetAddress address, Optional<InFlightRequest> targetRequest,
			Optional<PromptStart> promptStart, Optional<RemoteEntries.RemoteRequest> remoteRequest,
			Optional<TargetAddress> copyFrom, boolean freshConnection, String destination, long expectedMillis) {
		this.request = request;
		this.address = address;
		this.targetRequest = targetRequest;
		this.promptStart = promptStart;
		this.remoteRequest = remoteRequest;
		this.copyFrom = copyFrom;
		this.freshConnection = freshConnection;
		this.destination = destination;
		this.progress = new ProgressMonitor(request.context().loop(), request.route(), expectedMillis, this::onStall);
		this.failures = new AttemptFailureRecorder(request, targetRequest, remoteRequest);
		this.buffer = new ReplacementBuffer(request.context().responseMemory(), request.route().isStreaming(),
				request.relay().lastEventId());
	}

	static RoutedAttempt toTarget(RoutedRequest request, InFlightRequest inFlight, PromptStart promptStart,
			TargetChoice choice, boolean sentBefore) {
		TargetId id = choice.target().id();
		return new RoutedAttempt(request, choice.target().report().address(), Optional.of(inFlight),
				Optional.of(promptStart), Optional.empty(),
				choice.copyFrom().map((source) -> source.report().address()), sentBefore, id.value(),
				choice.waitMillis());
	}

	static RoutedAttempt toVm(RoutedRequest request, RemoteEntries.RemoteRequest inFlight, long expectedMillis) {
		RemoteEntries.RemoteChoice choice = inFlight.choice();
		return new RoutedAttempt(request, choice.address(), Optional.empty(), Optional.empty(), Optional.of(inFlight),
				Optional.empty(), false, choice.vm().value(), expectedMillis);
	}

	void start() {
		GatewayContext context = this.request.context();
		HttpHeaders headers = AttemptHeaders.create(this.request, target(), this.copyFrom);
		String query = this.request.request().query();
		String uri = this.request.request().path() + (query.isEmpty() ? "" : '?' + query);
		this.handle = context.client()
			.send(new TargetRequest(this.address, this.request.request().method(), uri, headers,
					this.request.request().body(), this.freshConnection,
					new OwnResponseCheck(this.request, this.destination, target().isEmpty())), this);
		this.progress.start();
	}

	private void onStall(long stalledMillis) {
		if (!this.request.isCallerWritable()) {
			return;
		}
		if (this.request.handover().isReplacement(this)) {
			this.request.onReplacementStalled();
			return;
		}
		if (this.progress.isFirstNotice()) {
			this.request.recorder().stalled(this.targetRequest, this.destination, stalledMillis);
		}
		this.request.startReplacement();
	}

	private void end() {
		this.done = true;
		this.progress.stop();
		this.buffer.close();
	}

	Optional<TargetId> target() {
		return this.targetRequest.map((inFlight) -> inFlight.target().id());
	}

	Optional<InFlightRequest> targetRequest() {
		return this.targetRequest;
	}

	void becomeCurrent() {
		if (this.unrelayedHead != null && !this.bodyDiscarded) {
			this.request.relay().head(this.unrelayedHead);
		}
		this.unrelayedHead = null;
		setReading(this.request.isCallerWritable());
		ByteBuf received = this.buffer.take();
		if (received.isReadable()) {
			relayBody(received);
		}
	}

	/**
	 * Ends the attempt because another one has begun to answer.
	 * @return the failure, empty if the attempt had ended before
	 */
	Optional<AttemptFailure> giveUp() {
		if (this.done) {
			return Optional.empty();
		}
		end();
		long now = System.nanoTime();
		this.promptStart.ifPresent(PromptStart::end);
		long stalledMillis = this.progress.silentMillis(now);
		this.failures.stalled(stalledMillis, now);
		return Optional.of(AttemptFailure.stalled(this.handle.cancel(),
				"no progress for " + stalledMillis + " ms, another attempt has begun"));
	}

	/**
	 * Returns the region of the VM to which the attempt was sent and which has not said
	 * which target answers.
	 * @return the region, empty if the target is known
	 */
	Optional<RegionId> unansweredRegion() {
		return this.remoteRequest.filter((inFlight) -> this.response == null)
			.map((inFlight) -> inFlight.choice().region());
	}

	String destination() {
		return this.destination;
	}

	/**
	 * Cancels the attempt.
	 * @return whether the request may have run
	 */
	Verdict cancel() {
		if (this.done) {
			return Verdict.NOT_RUN;
		}
		end();
		this.promptStart.ifPresent(PromptStart::end);
		this.targetRequest.ifPresent(InFlightRequest::end);
		this.remoteRequest.ifPresent(RemoteEntries.RemoteRequest::cancelled);
		return this.handle.cancel();
	}

	void setReading(boolean reading) {
		if (!this.done) {
			this.handle.setReading(reading);
			this.progress.restart(System.nanoTime());
		}
	}

	@Override
	public void onHead(AnswerHead head) {
		this.remoteRequest.ifPresent(RemoteEntries.RemoteRequest::answered);
		GatewayProtocol protocol = this.request.context().protocol();
		this.response = this.remoteRequest.isPresent() ? AttemptResponse.ofVm(head, protocol)
				: AttemptResponse.ofTarget(head, protocol);
		this.remoteRequest.ifPresent(
				(inFlight) -> this.request.attempts().recordRemoteAnswer(inFlight.choice().vm(), head.headers()));
		head.headers().remove(HeaderNames.ANSWERING_TARGET);
		if (this.request.isForwarded()) {
			target().ifPresent((id) -> head.headers().set(HeaderNames.ANSWERING_TARGET, id.value()));
		}
		this.targetRequest
			.ifPresent((inFlight) -> TargetStatements.apply(this.response.metadata(), inFlight, this.request));
		if (this.response.isSuccess() && !this.response.metadata().signed()) {
			this.handle.cancel();
			abandon(AttemptFailure.abandoned("the success response has no signature"));
			return;
		}
		if (this.response.isSuccess()) {
			this.targetRequest.ifPresent((inFlight) -> inFlight.answerStarted(System.nanoTime()));
		}
		if (this.request.handover().isReplacement(this)) {
			this.unrelayedHead = head;
			this.bodyDiscarded = !this.response.isSuccess() || this.response.metadata().encoded()
					|| !this.response.isDeliverable();
			return;
		}
		this.bodyDiscarded = this.response.metadata().isUnprovenPromise();
		if (!this.request.relay().isStarted() || this.response.isSuccess()) {
			this.request.relay().head(head);
		}
	}

	@Override
	public void onBody(ByteBuf data) {
		if (this.bodyDiscarded || (this.request.relay().isStarted() && !this.response.isSuccess())) {
			data.release();
			return;
		}
		if (!this.request.handover().isReplacement(this)) {
			relayBody(data);
			return;
		}
		this.buffer.append(data);
		if (this.buffer.isUnusable()) {
			this.handle.cancel();
			abandon(AttemptFailure.abandoned("the answer of the replacement is too long or an event is missing"));
		}
		else if (this.buffer.hasNextEvent()) {
			this.request.handover().takeOver();
		}
	}

	private void relayBody(ByteBuf data) {
		boolean eventSent = this.request.relay().body(data);
		if (this.request.relay().isTooLong()) {
			this.handle.cancel();
			abandon(AttemptFailure.abandoned("the answer is longer than any may be"));
			return;
		}
		// Bytes count as progress only if they complete an event of a stream or belong to
		// a response of known length. Other bytes could continue to arrive forever.
		if (eventSent || (!this.request.route().isStreaming() && this.response.hasLength())) {
			recordProgress(System.nanoTime());
		}
		if (eventSent) {
			this.request.recorder().partSent();
		}
		if (this.request.relay().hasGap()) {
			this.handle.cancel();
			abandon(AttemptFailure.abandoned("the stream resumed with an event missing"));
		}
	}

	private void recordProgress(long now) {
		this.targetRequest.ifPresent((inFlight) -> inFlight.recordProgress(now));
		boolean hasProgressed = this.progress.hasProgressed();
		if (hasProgressed && this.response.isSuccess()) {
			long pauseMillis = this.progress.silentMillis(now);
			this.targetRequest.ifPresent((inFlight) -> inFlight.recordStreamPause(pauseMillis, now));
		}
		if (!hasProgressed && this.response.isSuccess()) {
			this.request.attempts().recordStart();
			this.promptStart.ifPresent((start) -> start.answerBegan(now));
		}
		this.progress.recordProgress(now);
		this.request.handover().recordProgress();
	}

	@Override
	public void onEnd() {
		if (this.request.handover().isReplacement(this) && !this.bodyDiscarded && this.buffer.isWhole()) {
			this.request.handover().takeOver();
		}
		if (this.done) {
			return;
		}
		end();
		long now = System.nanoTime();
		if (this.response.metadata().notRun() || !this.response.isSuccess()) {
			this.promptStart.ifPresent(PromptStart::end);
		}
		if (this.response.remoteError().isPresent()) {
			failRemotely(this.response.remoteError().get());
			return;
		}
		if (this.response.isRejection()) {
			this.targetRequest.ifPresent(InFlightRequest::end);
			this.request.onAttemptFailed(this,
					AttemptFailure.rejected("the target did not run the request, status " + this.response.status()));
			return;
		}
		if (this.response.isSuccess() && this.response.metadata().encoded()) {
			this.promptStart.ifPresent(PromptStart::end);
			this.failures.targetFailed(false, now);
			this.request.onAttemptFailed(this, AttemptFailure.failed("the response body has an unexpected encoding"));
			return;
		}
		if (!this.response.isSuccess() && (this.bodyDiscarded || this.request.relay().isStarted()
				|| (this.response.status() >= 500 && this.request.mayOtherAttemptAnswer()))) {
			this.targetRequest.ifPresent((inFlight) -> inFlight.answeredWithError(now));
			if (!this.bodyDiscarded && !this.request.relay().isStarted()) {
				this.request.relay().storeResponse();
			}
			this.request.onAttemptFailed(this, AttemptFailure.failed(this.response.describe()));
			return;
		}
		if (this.request.handover().isReplacement(this) || !this.request.relay().end()) {
			AttemptFailure failure = AttemptFailure.failed("the stream ended in the middle of an event");
			this.targetRequest.ifPresentOrElse((inFlight) -> breakOff(inFlight, failure),
					() -> this.request.onAttemptFailed(this, failure));
			return;
		}
		if (this.response.isSuccess()) {
			this.promptStart.ifPresent((start) -> start.answerBegan(now));
		}
		this.targetRequest.ifPresent((inFlight) -> {
			if (this.response.status() >= 500) {
				inFlight.answeredWithError(now);
			}
			else {
				inFlight.answered(now);
			}
		});
		this.request.onResponseDelivered();
	}

	@Override
	public void onFailure(Verdict verdict, String detail) {
		if (this.done) {
			return;
		}
		AttemptFailure failure = (verdict == Verdict.NOT_RUN) ? AttemptFailure.unreachable(detail)
				: AttemptFailure.failed(detail);
		if (!failure.reachedTarget() || this.targetRequest.isEmpty()) {
			abandon(failure);
			return;
		}
		end();
		breakOff(this.targetRequest.get(), failure);
	}

	private void failRemotely(RemoteError error) {
		this.request.attempts().recordRemoteError(this.remoteRequest.orElseThrow().choice(), error);
		this.request.onAttemptFailed(this, AttemptFailure.remote(error, this.response.status()));
	}

	// the target closed the connection before the answer was complete
	private void breakOff(InFlightRequest inFlight, AttemptFailure failure) {
		this.failures.targetFailed(false, System.nanoTime());
		this.request.recordFailure(this, failure);
		TargetCrashMonitor crashes = this.request.context().crashMonitor();
		boolean hasSharedParts = !inFlight.sharedParts().isEmpty();
		if (hasSharedParts && !this.progress.hasProgressed()) {
			this.request.attempts().recordBrokenStart();
			crashes.requestBrokeOff(inFlight, this.request.id(), this.promptStart.orElseThrow(),
					() -> this.request.retryOrFail(this, failure));
			return;
		}
		if (hasSharedParts) {
			crashes.answerBrokeOff(inFlight);
		}
		this.request.retryOrFail(this, failure);
	}

	private void abandon(AttemptFailure failure) {
		if (this.done) {
			return;
		}
		end();
		this.promptStart.ifPresent(PromptStart::end);
		this.failures.failed(!failure.reachedTarget(), System.nanoTime());
		this.request.onAttemptFailed(this, failure);
	}

}
