package org.vanillatrestle.daemon.internal.pipeline;

import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import org.vanillatrestle.Verdict;
import org.vanillatrestle.internal.request.Attempt;
import org.vanillatrestle.internal.request.AttemptOutcome;
import org.vanillatrestle.internal.request.Placement;

/**
 * One attempt of a {@link DispatchRun}. Checks the answer of the attempt and passes it to
 * the relay.
 * <p>
 * A silent attempt is not failed: an engine may pause and go on. It ends when the answer
 * of its replacement begins, or at the deadline. An attempt that is itself a replacement
 * passes nothing to the relay before the first part of its answer has arrived.
 * <p>
 * Used on the VM's event loop.
 */
final class AttemptRun implements AttemptListener {

	private static final long STALL_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);

	private static final long REPLACEMENT_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private static final int MIN_SERVER_ERROR_STATUS = 500;

	private final DispatchRun run;

	private final Exchange exchange;

	private final Attempt attempt;

	private final RelaySelector relaySelector;

	private final int resumeOffset;

	private AttemptHandle handle;

	private AnswerRelay relay;

	private AnswerHead pendingHead;

	private EventLoop eventLoop;

	private Future<?> timer;

	private long lastPartNanos;

	AttemptRun(DispatchRun run, Exchange exchange, Attempt attempt, RelaySelector relaySelector) {
		this.run = run;
		this.exchange = exchange;
		this.attempt = attempt;
		this.relaySelector = relaySelector;
		this.resumeOffset = relaySelector.resumeOffset();
	}

	Attempt attempt() {
		return this.attempt;
	}

	int resumeOffset() {
		return this.resumeOffset;
	}

	/**
	 * Returns the number of tokens that this attempt has relayed to the caller.
	 * @return the number of tokens, as far as known
	 */
	int relayedTokens() {
		return Math.max(0, this.relaySelector.relayedTokens() - Math.max(0, this.resumeOffset));
	}

	/**
	 * Starts the timer that looks for another target if the answer does not start in
	 * time. After a stream has started, another timer does so if the stream stalls.
	 * @param loop the event loop that runs the timers
	 * @param firstByteTimeoutNanos how long to wait for the first byte, in nanoseconds
	 */
	void startFirstByteTimer(EventLoop loop, long firstByteTimeoutNanos) {
		this.eventLoop = loop;
		schedule(this::firstByteTimedOut, firstByteTimeoutNanos);
	}

	private void schedule(Runnable check, long delayNanos) {
		this.timer = this.eventLoop.schedule(check, delayNanos, TimeUnit.NANOSECONDS);
	}

	private void firstByteTimedOut() {
		if (this.run.isReplacement(this)) {
			cancelAndFail(AttemptOutcome.TIMED_OUT, "the answer did not start in time");
			return;
		}
		if (this.run.isCurrent(this) && this.relay == null) {
			this.run.replaceSilent("the answer did not start in time");
			schedule(this::firstByteTimedOut, REPLACEMENT_RETRY_NANOS);
		}
	}

	private void startStallTimer() {
		this.lastPartNanos = System.nanoTime();
		schedule(this::checkForStall, STALL_TIMEOUT_NANOS);
	}

	private void checkForStall() {
		if (!this.run.isCurrent(this)) {
			return;
		}
		long idleNanos = System.nanoTime() - this.lastPartNanos;
		if (idleNanos < STALL_TIMEOUT_NANOS || !this.exchange.isWritable()) {
			schedule(this::checkForStall, STALL_TIMEOUT_NANOS);
			return;
		}
		this.run.replaceSilent("the stream stalled");
		schedule(this::checkForStall, REPLACEMENT_RETRY_NANOS);
	}

	void setHandle(AttemptHandle newHandle) {
		this.handle = newHandle;
		if (!this.exchange.isWritable()) {
			newHandle.setReading(false);
		}
	}

	void setReading(boolean reading) {
		if (this.handle != null) {
			this.handle.setReading(reading);
		}
	}

	Verdict cancel() {
		this.timer.cancel(false);
		return (this.handle != null) ? this.handle.cancel() : Verdict.MAY_HAVE_RUN;
	}

	@Override
	public void onHead(AnswerHead head) {
		boolean replacement = this.run.isReplacement(this);
		if (!replacement && !this.run.isCurrent(this)) {
			return;
		}
		this.run.firstByteReceived(this);
		// only this system states a verdict; that of a target could tell a caller to
		// repeat
		// a call that ran
		head.headers().remove(HeaderNames.VERDICT);
		if (isRefusalByTarget(head)) {
			cancelAndFail(AttemptOutcome.REFUSED, "status " + head.status());
			return;
		}
		if (replacement && head.status() >= MIN_SERVER_ERROR_STATUS) {
			cancelAndFail(AttemptOutcome.FAILED, "status " + head.status());
			return;
		}
		if (this.resumeOffset > 0 && !isResumedAt(head, this.resumeOffset)) {
			cancelAndFail(AttemptOutcome.FAILED, "the target did not resume the stream at event " + this.resumeOffset);
			return;
		}
		this.pendingHead = head;
		if (!replacement) {
			startAnswer();
		}
	}

	/**
	 * Called when this attempt has become the current one, after it was a replacement.
	 */
	void promoted() {
		setReading(this.exchange.isWritable());
		if (this.pendingHead != null) {
			startAnswer();
		}
	}

	private void startAnswer() {
		this.timer.cancel(false);
		this.run.cancelReplacement();
		this.relay = this.relaySelector.select(this.pendingHead);
		this.relay.head(this.pendingHead);
		if (this.relay instanceof EventStreamRelay) {
			startStallTimer();
		}
	}

	/**
	 * Returns whether the target reports that it is temporarily unavailable and the call
	 * may be repeated. Only idempotent calls are retried; the answer to any other call is
	 * relayed to the caller.
	 * @param head status and headers of the answer
	 * @return whether to make another attempt
	 */
	private boolean isRefusalByTarget(AnswerHead head) {
		boolean unavailable = head.status() == 429 || head.status() == 502 || head.status() == 503
				|| head.status() == 504;
		return unavailable && Verdict.MAY_HAVE_RUN.permitsRepeat(this.exchange.call().repeat());
	}

	private boolean isResumedAt(AnswerHead head, int offset) {
		return head.status() == 200 && String.valueOf(offset).equals(head.headers().get(HeaderNames.RESUMED));
	}

	@Override
	public void onBody(ByteBuf data) {
		if (this.run.isReplacement(this)) {
			this.run.promote(this);
		}
		if (!this.run.isCurrent(this) || this.relay == null) {
			data.release();
			return;
		}
		this.run.cancelReplacement();
		this.lastPartNanos = System.nanoTime();
		this.relay.body(data);
		this.run.partRelayed();
		if (this.relay instanceof EventStreamRelay stream && stream.hasOversizedEvent()) {
			cancelAndFail(AttemptOutcome.FAILED, "a stream event is too long");
			return;
		}
		if (this.relay instanceof EventStreamRelay stream && stream.hasMalformedEvent()) {
			cancelAndFail(AttemptOutcome.FAILED, "a stream event is not valid JSON");
			return;
		}
		setReading(this.exchange.isWritable());
	}

	@Override
	public void onEnd() {
		this.timer.cancel(false);
		if (this.run.isReplacement(this)) {
			this.run.promote(this);
		}
		if (!this.run.isCurrent(this)) {
			return;
		}
		if (this.relay == null || !this.relay.end()) {
			this.run.attemptFailed(this, AttemptOutcome.FAILED, Verdict.MAY_HAVE_RUN, "the answer is incomplete");
			return;
		}
		this.run.attemptAnswered(this);
	}

	@Override
	public void onFailure(Verdict verdict, String detail) {
		this.timer.cancel(false);
		if (this.run.isCurrent(this) || this.run.isReplacement(this)) {
			boolean unreachable = verdict == Verdict.NOT_RUN && this.attempt.placement() instanceof Placement.Local;
			this.run.attemptFailed(this, unreachable ? AttemptOutcome.UNREACHABLE : AttemptOutcome.FAILED, verdict,
					detail);
		}
	}

	private void cancelAndFail(AttemptOutcome outcome, String detail) {
		this.run.attemptFailed(this, outcome, cancel(), detail);
	}

}
