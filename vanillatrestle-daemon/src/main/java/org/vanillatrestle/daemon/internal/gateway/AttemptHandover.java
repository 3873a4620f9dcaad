package org.vanillatrestle.daemon.internal.gateway;

import java.util.Optional;

import org.vanillatrestle.RegionId;
import org.vanillatrestle.Verdict;
import org.vanillatrestle.daemon.internal.logging.EventKind;
import org.vanillatrestle.internal.gateway.InFlightRequest;

/**
 * The attempts of one request that are in progress: the current one, whose response is
 * relayed, and at times a replacement that was started because the current one makes no
 * progress.
 * <p>
 * Invariants: the current attempt is kept until the replacement has begun to answer, and
 * then ended at once, because targets may hardly work on one request at the same time. A
 * replacement is withdrawn as soon as the current attempt makes progress. Only the
 * current attempt writes to the relay. Used only on the VM's event loop.
 */
final class AttemptHandover {

	private final RoutedRequest request;

	private RoutedAttempt current;

	private RoutedAttempt replacement;

	AttemptHandover(RoutedRequest request) {
		this.request = request;
	}

	void begin(RoutedAttempt attempt) {
		this.current = attempt;
		attempt.start();
	}

	void beginReplacement(RoutedAttempt attempt) {
		this.replacement = attempt;
		record(EventKind.REPLACEMENT_STARTED, attempt);
		attempt.start();
	}

	/**
	 * Returns the region where the current attempt is at an unknown target.
	 * @return the region, empty if the target is known
	 */
	Optional<RegionId> unansweredRegion() {
		return this.current.unansweredRegion();
	}

	/**
	 * Returns the current attempt's request at its target.
	 * @return the request, empty if another VM has it or there was no attempt
	 */
	Optional<InFlightRequest> targetRequest() {
		return (this.current != null) ? this.current.targetRequest() : Optional.empty();
	}

	boolean hasReplacement() {
		return this.replacement != null;
	}

	boolean isReplacement(RoutedAttempt attempt) {
		return attempt == this.replacement;
	}

	/**
	 * Notes progress of the current attempt, which makes its replacement needless.
	 */
	void recordProgress() {
		if (this.replacement != null) {
			RoutedAttempt withdrawn = this.replacement;
			this.request.attempts().recordWithdrawal(cancelReplacement(), withdrawn.target());
			record(EventKind.REPLACEMENT_WITHDRAWN, withdrawn);
		}
	}

	/**
	 * Cancels the replacement, which makes no progress either, and keeps the current
	 * attempt.
	 */
	void giveReplacementUp() {
		RoutedAttempt stalled = this.replacement;
		this.request.attempts().recordRun(cancelReplacement(), stalled.target());
		record(EventKind.REPLACEMENT_WITHDRAWN, stalled);
	}

	/**
	 * Ends the current attempt in favour of its replacement, which has begun to answer.
	 */
	void takeOver() {
		RoutedAttempt previous = this.current;
		record(EventKind.REPLACEMENT_TOOK_OVER, this.replacement);
		Optional<AttemptFailure> failure = previous.giveUp();
		failure.ifPresent((stalled) -> this.request.recordFailure(previous, stalled));
		continueWithReplacement();
	}

	private void continueWithReplacement() {
		this.current = this.replacement;
		this.replacement = null;
		this.current.becomeCurrent();
	}

	/**
	 * Decides what follows the end of an attempt without a response to deliver. If the
	 * current attempt has a replacement in progress, the replacement takes its place.
	 * @param attempt the attempt that ended
	 * @return whether no attempt is in progress, so that the request has to be retried or
	 * to fail
	 */
	boolean isLastInProgress(RoutedAttempt attempt) {
		if (isReplacement(attempt)) {
			this.replacement = null;
			record(EventKind.REPLACEMENT_FAILED, attempt);
			return false;
		}
		if (attempt != this.current) {
			return false;
		}
		if (hasReplacement()) {
			record(EventKind.REPLACEMENT_TOOK_OVER, this.replacement);
			continueWithReplacement();
			return false;
		}
		return true;
	}

	/**
	 * Cancels all attempts in progress.
	 * @return whether the request may have run in any of them
	 */
	Verdict cancel() {
		Verdict verdict = (this.current != null) ? this.current.cancel() : Verdict.NOT_RUN;
		return verdict.and(cancelReplacement());
	}

	private void record(EventKind event, RoutedAttempt attempt) {
		this.request.recorder().replacement(event, attempt.destination(), this.current.destination());
	}

	private Verdict cancelReplacement() {
		RoutedAttempt cancelled = this.replacement;
		this.replacement = null;
		return (cancelled != null) ? cancelled.cancel() : Verdict.NOT_RUN;
	}

	void setReading(boolean reading) {
		if (this.current != null) {
			this.current.setReading(reading);
		}
	}

	/**
	 * Returns where the current attempt was sent.
	 * @return the target or VM, {@code null} if there was no attempt
	 */
	String destination() {
		return (this.current != null) ? this.current.destination() : null;
	}

}
