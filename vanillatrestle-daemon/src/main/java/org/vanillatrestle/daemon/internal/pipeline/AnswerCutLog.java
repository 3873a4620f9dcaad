package org.vanillatrestle.daemon.internal.pipeline;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.vanillatrestle.daemon.internal.logging.EventKind;
import org.vanillatrestle.daemon.internal.logging.EventLog;

/**
 * Writes answers that were broken off to the structured log.
 * <p>
 * Lines beyond a maximum per second are omitted, and the next line tells how many. Used
 * on the VM's event loop.
 */
public final class AnswerCutLog implements AnswerCutListener {

	private static final int MAX_LINES_PER_SECOND = 50;

	private final LongSupplier clockNanos;

	private long currentSecond;

	private int linesInSecond;

	private int omittedLines;

	/**
	 * Creates a log without lines.
	 * @param clockNanos the monotonic clock in nanoseconds
	 */
	public AnswerCutLog(LongSupplier clockNanos) {
		this.clockNanos = clockNanos;
	}

	@Override
	public void answerCut(Exchange exchange, AnswerCut cut) {
		long nowNanos = this.clockNanos.getAsLong();
		if (!mayWrite(TimeUnit.NANOSECONDS.toSeconds(nowNanos))) {
			this.omittedLines++;
			return;
		}
		Integer leftOutBefore = (this.omittedLines > 0) ? this.omittedLines : null;
		this.omittedLines = 0;
		EventLog.write(EventKind.ANSWER_CUT, "request", exchange.id().value(), "atMillis",
				TimeUnit.NANOSECONDS.toMillis(nowNanos - exchange.arrivedNanos()), "cause", cut.cause().label(),
				"detail", cut.detail(), "attempts", exchange.attempts(), "parts", cut.relayedEvents(),
				"remainingMillis", cut.remainingMillis(), "forwarded", exchange.isForwarded(), "leftOutBefore",
				leftOutBefore);
	}

	private boolean mayWrite(long second) {
		if (second != this.currentSecond) {
			this.currentSecond = second;
			this.linesInSecond = 0;
		}
		if (this.linesInSecond >= MAX_LINES_PER_SECOND) {
			return false;
		}
		this.linesInSecond++;
		return true;
	}

}
