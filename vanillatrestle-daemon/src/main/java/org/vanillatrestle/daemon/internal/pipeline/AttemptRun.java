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
 * One attempt of a {@link DispatchRun}: checks its answer and hands it to the relay.
 * <p>
 * Used on the VM's event loop.
 */
final class AttemptRun implements AttemptListener {

	private static final long STALL_NANOS = TimeUnit.SECONDS.toNanos(5);

	private final DispatchRun run;

	private final Exchange exchange;

	private final Attempt attempt;

	private final RelaySelector relays;

	private final int resumeOffset;

	private AttemptHandle handle;

	private AnswerRelay relay;

	private EventLoop eventLoop;

	private Future<?> timer;

	private long lastPartNanos;

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

	/**
	 * Gives the attempt up if its answer does not begin in time, or if a stream stops.
	 * @param loop runs the timers
	 * @param firstByteNanos how long to wait for the first byte
	 */
	void watch(EventLoop loop, long firstByteNanos) {
		this.eventLoop = loop;
		this.timer = loop.schedule(this::firstByteMissing, firstByteNanos, TimeUnit.NANOSECONDS);
	}

	private void firstByteMissing() {
		if (this.run.isCurrent(this) && this.relay == null) {
			giveUp(AttemptOutcome.TIMED_OUT, "no answer came in time");
		}
	}

	private void watchStream() {
		this.lastPartNanos = System.nanoTime();
		this.timer = this.eventLoop.schedule(this::checkStream, STALL_NANOS, TimeUnit.NANOSECONDS);
	}

	private void checkStream() {
		if (!this.run.isCurrent(this)) {
			return;
		}
		long silentNanos = System.nanoTime() - this.lastPartNanos;
		if (silentNanos >= STALL_NANOS && this.exchange.isWritable()) {
			giveUp(AttemptOutcome.TIMED_OUT, "the stream stopped");
			return;
		}
		this.timer = this.eventLoop.schedule(this::checkStream, STALL_NANOS, TimeUnit.NANOSECONDS);
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
		this.timer.cancel(false);
		return (this.handle != null) ? this.handle.cancel() : Verdict.MAY_HAVE_RUN;
	}

	@Override
	public void onHead(AnswerHead head) {
		if (!this.run.isCurrent(this)) {
			return;
		}
		this.timer.cancel(false);
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
		if (this.relay instanceof EventStreamRelay) {
			watchStream();
		}
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
		this.lastPartNanos = System.nanoTime();
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
		this.timer.cancel(false);
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
		this.timer.cancel(false);
		if (this.run.isCurrent(this)) {
			boolean unreachable = verdict == Verdict.NOT_RUN && this.attempt.placement() instanceof Placement.Local;
			this.run.failed(this, unreachable ? AttemptOutcome.UNREACHABLE : AttemptOutcome.FAILED, verdict, detail);
		}
	}

	private void giveUp(AttemptOutcome outcome, String detail) {
		this.run.failed(this, outcome, cancel(), detail);
	}

}
