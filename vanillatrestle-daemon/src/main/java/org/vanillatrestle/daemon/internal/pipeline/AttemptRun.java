package org.vanillatrestle.daemon.internal.pipeline;

import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import org.vanillatrestle.Verdict;
import org.vanillatrestle.internal.request.Attempt;
import org.vanillatrestle.internal.request.AttemptOutcome;

/**
 * One attempt of a {@link DispatchRun}: checks its answer and hands it to the relay.
 * <p>
 * Used on the VM's event loop.
 */
final class AttemptRun implements AttemptListener {

	private final DispatchRun run;

	private final Exchange exchange;

	private final Attempt attempt;

	private final RelaySelector relays;

	private final int resumeOffset;

	private AttemptHandle handle;

	private AnswerRelay relay;

	private Future<?> firstByteTimer;

	AttemptRun(DispatchRun run, Exchange exchange, Attempt attempt, RelaySelector relays) {
		this.run = run;
		this.exchange = exchange;
		this.attempt = attempt;
		this.relays = relays;
		this.resumeOffset = relays.resumeOffset();
	}

	Attempt attempt() {
		return this.attempt;
	}

	int resumeOffset() {
		return this.resumeOffset;
	}

	/**
	 * Returns the tokens that this attempt has handed on.
	 * @return tokens, as far as known
	 */
	int tokens() {
		return Math.max(0, this.relays.tokens() - Math.max(0, this.resumeOffset));
	}

	void watchFirstByte(EventLoop eventLoop, long timeoutNanos) {
		this.firstByteTimer = eventLoop.schedule(this::firstByteMissing, timeoutNanos, TimeUnit.NANOSECONDS);
	}

	private void firstByteMissing() {
		if (this.run.isCurrent(this) && this.relay == null) {
			giveUp(AttemptOutcome.TIMED_OUT, "no answer came in time");
		}
	}

	void started(AttemptHandle newHandle) {
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
		this.firstByteTimer.cancel(false);
		return (this.handle != null) ? this.handle.cancel() : Verdict.MAY_HAVE_RUN;
	}

	@Override
	public void onHead(AnswerHead head) {
		if (!this.run.isCurrent(this)) {
			return;
		}
		this.firstByteTimer.cancel(false);
		this.run.firstByte(this);
		if (isRefusalByTarget(head)) {
			giveUp(AttemptOutcome.REFUSED, "status " + head.status());
			return;
		}
		if (this.resumeOffset > 0 && !resumesAt(head, this.resumeOffset)) {
			giveUp(AttemptOutcome.FAILED, "the target did not resume at " + this.resumeOffset);
			return;
		}
		this.relay = this.relays.select(head);
		this.relay.head(head);
	}

	/**
	 * Tells whether the answer says that the target could not do the work now. Only
	 * idempotent calls are tried again; for others the answer is the caller's.
	 * @param head status and headers of the answer
	 * @return whether to try another target
	 */
	private boolean isRefusalByTarget(AnswerHead head) {
		boolean unavailable = head.status() == 429 || head.status() == 502 || head.status() == 503
				|| head.status() == 504;
		return unavailable && Verdict.MAY_HAVE_RUN.permitsRepeat(this.exchange.call().repeat());
	}

	private boolean resumesAt(AnswerHead head, int offset) {
		return head.status() == 200 && String.valueOf(offset).equals(head.headers().get(HeaderNames.RESUMED));
	}

	@Override
	public void onBody(ByteBuf data) {
		if (!this.run.isCurrent(this) || this.relay == null) {
			data.release();
			return;
		}
		this.relay.body(data);
		if (this.relay instanceof EventStreamRelay stream && stream.isOverlong()) {
			giveUp(AttemptOutcome.FAILED, "an event of the stream is too long");
			return;
		}
		if (this.relay instanceof EventStreamRelay stream && stream.isMalformed()) {
			giveUp(AttemptOutcome.FAILED, "an event of the stream is not JSON");
			return;
		}
		setReading(this.exchange.isWritable());
	}

	@Override
	public void onEnd() {
		if (!this.run.isCurrent(this)) {
			return;
		}
		if (this.relay == null || !this.relay.end()) {
			this.run.failed(this, AttemptOutcome.FAILED, Verdict.MAY_HAVE_RUN, "the answer is not whole");
			return;
		}
		this.run.answered(this);
	}

	@Override
	public void onFailure(Verdict verdict, String detail) {
		this.firstByteTimer.cancel(false);
		if (this.run.isCurrent(this)) {
			this.run.failed(this, AttemptOutcome.FAILED, verdict, detail);
		}
	}

	private void giveUp(AttemptOutcome outcome, String detail) {
		this.run.failed(this, outcome, cancel(), detail);
	}

}
