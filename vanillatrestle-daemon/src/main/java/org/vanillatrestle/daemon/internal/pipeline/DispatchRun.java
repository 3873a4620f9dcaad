package org.vanillatrestle.daemon.internal.pipeline;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import org.jboss.logging.Logger;
import org.vanillatrestle.Repeat;
import org.vanillatrestle.Verdict;
import org.vanillatrestle.internal.request.AttemptOutcome;
import org.vanillatrestle.internal.request.Placement;
import org.vanillatrestle.internal.retry.RetryDenial;

/**
 * Makes the attempts of one request until the request is answered or has failed.
 * <p>
 * Only the current attempt answers the caller. While it is silent, one replacement may
 * run beside it: the replacement becomes the current attempt when its answer begins or
 * when the current one fails, and is cancelled if the current one goes on first. Events
 * of other attempts are ignored. No attempt starts after the deadline, at a target that
 * was already tried, or if the verdict of an earlier attempt forbids a repeat. At the VM
 * that the caller asked, the rest of an answer that has begun waits until the deadline
 * while no live target is there. Used on the VM's event loop.
 */
final class DispatchRun {

	private static final Logger logger = Logger.getLogger(DispatchRun.class);

	private final Exchange exchange;

	private final EventLoop eventLoop;

	private final AttemptTracker tracker;

	private final AdmissionFilter admissionFilter;

	private final AttemptStarter starter;

	private final AnswerCutListener cutListener;

	private final Consumer<DispatchRun> completionListener;

	private final RelaySelector relaySelector;

	private Verdict verdict = Verdict.NOT_RUN;

	private AttemptRun currentAttempt;

	private AttemptRun replacement;

	private Future<?> deadlineTimer;

	private Future<?> retryTimer;

	private boolean finished;

	DispatchRun(Exchange exchange, EventLoop eventLoop, AttemptTracker tracker, AdmissionFilter admissionFilter,
			AttemptStarter starter, AnswerCutListener cutListener, Consumer<DispatchRun> completionListener) {
		this.exchange = exchange;
		this.eventLoop = eventLoop;
		this.tracker = tracker;
		this.admissionFilter = admissionFilter;
		this.starter = starter;
		this.cutListener = cutListener;
		this.completionListener = completionListener;
		this.relaySelector = new RelaySelector(exchange, tracker.clockNanos());
	}

	void start() {
		this.exchange.cancellation(this::callerDisconnected);
		this.exchange.writabilityListener(this::writabilityChanged);
		long remainingNanos = this.exchange.deadlineNanos() - this.tracker.nowNanos();
		this.deadlineTimer = this.eventLoop.schedule(this::deadlinePassed, remainingNanos, TimeUnit.NANOSECONDS);
		partRelayed();
		startAttempt(null);
	}

	private void startAttempt(String lastFailure) {
		if (this.finished) {
			return;
		}
		Placement placement = findPlacement();
		if (placement instanceof Placement.None none) {
			failNotPlaced(none, lastFailure);
			return;
		}
		if (!this.exchange.canStart()) {
			finish();
			return;
		}
		this.currentAttempt = newAttempt(placement);
		send(this.currentAttempt, placement);
	}

	private Placement findPlacement() {
		return isBegun() ? this.tracker.findPlacementForRest() : this.tracker.findPlacement();
	}

	// here, or at the VM that forwarded the request
	private boolean isBegun() {
		return this.relaySelector.resumeOffset() > 0;
	}

	private AttemptRun newAttempt(Placement placement) {
		this.exchange.nextAttempt();
		return new AttemptRun(this, this.exchange, this.tracker.begin(placement), this.relaySelector);
	}

	private void send(AttemptRun run, Placement placement) {
		run.startFirstByteTimer(this.eventLoop, this.tracker.firstByteTimeoutNanos());
		run.setHandle(this.starter.start(this.exchange, placement, this.tracker.attemptNumber(placement),
				run.resumeOffset(), run));
	}

	/**
	 * Sends the request to another target beside the silent current one, if a target is
	 * free and the request may be repeated. The current attempt goes on.
	 * @param detail the cause, for logs
	 */
	void replaceSilent(String detail) {
		boolean repeatable = this.relaySelector.resumeOffset() >= 0 && !this.exchange.isEnded();
		if (this.replacement != null || !repeatable || !this.exchange.canStart()) {
			return;
		}
		Placement placement = this.tracker.findReplacement(this.currentAttempt.attempt(),
				this.verdict.and(Verdict.MAY_HAVE_RUN));
		if (placement instanceof Placement.None) {
			return;
		}
		logger.debugf("Dispatch: attempt %d of request %s is silent and gets a replacement: %s.",
				this.exchange.attempts(), this.exchange.id(), detail);
		this.replacement = newAttempt(placement);
		send(this.replacement, placement);
	}

	boolean isReplacement(AttemptRun run) {
		return !this.finished && this.replacement == run;
	}

	/**
	 * Ends the silent current attempt and continues with its replacement.
	 * @param run the replacement, whose answer has begun
	 */
	void promote(AttemptRun run) {
		AttemptRun silent = this.currentAttempt;
		this.currentAttempt = run;
		this.replacement = null;
		Verdict silentVerdict = silent.cancel();
		this.relaySelector.reset();
		this.verdict = this.verdict.and(silentVerdict);
		this.tracker.attemptFailed(silent.attempt(), AttemptOutcome.TIMED_OUT, silentVerdict, silent.relayedTokens());
		run.promoted();
	}

	/**
	 * Cancels the replacement, for example because the current attempt is no longer
	 * silent.
	 */
	void cancelReplacement() {
		if (this.replacement != null) {
			AttemptRun cancelled = this.replacement;
			this.replacement = null;
			this.verdict = this.verdict.and(cancelled.cancel());
			this.tracker.attemptFinished(cancelled.attempt(), AttemptOutcome.CANCELLED, 0);
		}
	}

	boolean isCurrent(AttemptRun run) {
		return !this.finished && this.currentAttempt == run;
	}

	void firstByteReceived(AttemptRun run) {
		this.tracker.firstByteReceived(run.attempt());
	}

	/**
	 * Called when a part of the answer may have been passed to the caller.
	 */
	void partRelayed() {
		if (isBegun()) {
			this.tracker.answerBegan();
		}
	}

	void attemptAnswered(AttemptRun run) {
		this.currentAttempt = null;
		this.verdict = Verdict.RAN;
		this.tracker.attemptFinished(run.attempt(), AttemptOutcome.COMPLETED, run.relayedTokens());
		finish();
	}

	void attemptFailed(AttemptRun run, AttemptOutcome outcome, Verdict attemptVerdict, String detail) {
		this.verdict = this.verdict.and(attemptVerdict);
		logger.debugf("Dispatch: attempt %d of request %s failed with verdict %s: %s.", this.exchange.attempts(),
				this.exchange.id(), attemptVerdict, detail);
		if (isReplacement(run)) {
			this.replacement = null;
			this.tracker.attemptFailed(run.attempt(), outcome, attemptVerdict, 0);
			return;
		}
		this.currentAttempt = null;
		this.relaySelector.reset();
		this.tracker.attemptFailed(run.attempt(), outcome, attemptVerdict, run.relayedTokens());
		if (this.replacement != null) {
			this.currentAttempt = this.replacement;
			this.replacement = null;
			this.currentAttempt.promoted();
			return;
		}
		if (this.exchange.isEnded() && this.exchange.claim().isEmpty()) {
			finish();
			return;
		}
		retryLater(detail);
	}

	private void retryLater(String detail) {
		Refusal refusal = Refusals.targetFailed(detail, this.verdict);
		if (this.relaySelector.resumeOffset() < 0) {
			fail(refusal, CutCause.NOT_RESUMABLE, detail);
			return;
		}
		Optional<RetryDenial> denial = this.tracker.acquireRetry(this.verdict);
		if (denial.isPresent()) {
			fail(refusal, CutCause.of(denial.get()), detail);
			return;
		}
		long delayNanos = this.tracker.retryDelayNanos();
		if (delayNanos < 0) {
			fail(refusal, CutCause.DENIED_TIME, detail);
			return;
		}
		this.retryTimer = this.eventLoop.schedule(() -> retry(detail), delayNanos, TimeUnit.NANOSECONDS);
	}

	private void retry(String lastFailure) {
		if (this.finished) {
			return;
		}
		if (findPlacement() instanceof Placement.None none) {
			retryOrFail(none, lastFailure);
			return;
		}
		// the rules for new requests would cut what the caller already has
		if (isBegun()) {
			startAttempt(lastFailure);
			return;
		}
		this.admissionFilter.readmit(this.exchange, () -> startAttempt(lastFailure), () -> notReadmitted(lastFailure));
	}

	private void retryOrFail(Placement.None none, String lastFailure) {
		// the VM in front knows more places than the one that it forwarded to
		boolean mayWait = isBegun() && !this.exchange.isForwarded() && none.retryAfterMillis() > 0;
		if (!mayWait) {
			failNotPlaced(none, lastFailure);
			return;
		}
		this.retryTimer = this.eventLoop.schedule(() -> retry(lastFailure), none.retryAfterMillis(),
				TimeUnit.MILLISECONDS);
	}

	// a request that has not run is refused like one that was never sent
	private void failNotPlaced(Placement.None none, String lastFailure) {
		Refusal refusal = (this.verdict == Verdict.NOT_RUN)
				? Refusals.noTarget(this.exchange.call().service().name().value(), none.retryAfterMillis())
				: Refusals.targetFailed(lastFailure, this.verdict);
		fail(refusal, CutCause.NOT_PLACED, lastFailure);
	}

	private void notReadmitted(String lastFailure) {
		if (!this.finished) {
			fail(Refusals.targetFailed(lastFailure, this.verdict), CutCause.NOT_PLACED, lastFailure);
		}
	}

	private void deadlinePassed() {
		if (this.finished) {
			return;
		}
		CutCause cause = (this.currentAttempt != null) ? CutCause.DEADLINE : CutCause.NOT_PLACED;
		cancelCurrentAttempt(AttemptOutcome.TIMED_OUT);
		fail(Refusals.deadlinePassed(this.exchange.call().deadlineMillis(), this.verdict), cause, null);
	}

	private void callerDisconnected() {
		boolean answerMustBeRecorded = this.exchange.claim().isPresent()
				&& this.exchange.call().repeat() == Repeat.AT_MOST_ONCE;
		if (this.finished || answerMustBeRecorded) {
			return;
		}
		cancelCurrentAttempt(AttemptOutcome.CANCELLED);
		finish();
	}

	private void cancelCurrentAttempt(AttemptOutcome outcome) {
		if (this.retryTimer != null) {
			this.retryTimer.cancel(false);
		}
		cancelReplacement();
		if (this.currentAttempt == null) {
			return;
		}
		AttemptRun cancelled = this.currentAttempt;
		this.currentAttempt = null;
		this.verdict = this.verdict.and(cancelled.cancel());
		this.relaySelector.reset();
		this.tracker.attemptFinished(cancelled.attempt(), outcome, cancelled.relayedTokens());
	}

	private void writabilityChanged() {
		if (this.currentAttempt != null) {
			this.currentAttempt.setReading(this.exchange.isWritable());
		}
	}

	private void fail(Refusal refusal, CutCause cause, String detail) {
		this.exchange.claim().ifPresent((claim) -> closeClaim(claim));
		if (this.exchange.firstByteNanos() >= 0 && !this.exchange.isEnded()) {
			long remainingMillis = TimeUnit.NANOSECONDS
				.toMillis(this.exchange.deadlineNanos() - this.tracker.nowNanos());
			this.cutListener.answerCut(this.exchange,
					new AnswerCut(cause, detail, this.relaySelector.relayedTokens(), remainingMillis));
		}
		this.exchange.refuse(refusal.after(this.verdict));
		finish();
	}

	private void closeClaim(OnceClaim claim) {
		if (this.verdict == Verdict.NOT_RUN) {
			claim.release();
		}
		else {
			claim.abandon();
		}
	}

	private void finish() {
		cancelReplacement();
		this.tracker.ended();
		this.finished = true;
		this.deadlineTimer.cancel(false);
		if (this.retryTimer != null) {
			this.retryTimer.cancel(false);
		}
		this.completionListener.accept(this);
	}

}
