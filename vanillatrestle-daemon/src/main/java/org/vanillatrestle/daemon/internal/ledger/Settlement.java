package org.vanillatrestle.daemon.internal.ledger;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import org.jboss.logging.Logger;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.OnceKey;
import org.vanillatrestle.daemon.internal.pipeline.AnswerHead;
import org.vanillatrestle.daemon.internal.pipeline.OnceClaim;
import org.vanillatrestle.internal.once.AttemptId;
import org.vanillatrestle.internal.once.LedgerCommand;
import org.vanillatrestle.internal.once.LedgerLimits;
import org.vanillatrestle.internal.once.StoredAnswer;

/**
 * Reports to the ledger how an attempt ended. The claim of the attempt may not have been
 * granted if it was given up before its outcome was known. The report is retried until
 * the ledger acknowledges it or {@link #REPORT_TIMEOUT_NANOS} has passed. If it was never
 * acknowledged, resends are told that the call may have run.
 * <p>
 * Used on the VM's event loop.
 */
final class Settlement implements OnceClaim {

	private static final Logger logger = Logger.getLogger(Settlement.class);

	private static final long INITIAL_RETRY_MILLIS = 100;

	private static final long MAX_RETRY_MILLIS = 5_000;

	private static final long MAX_CALLER_WAIT_MILLIS = 2_000;

	private static final long REPORT_TIMEOUT_NANOS = TimeUnit.HOURS.toNanos(1);

	private final EventLoop eventLoop;

	private final OnceClient client;

	private final DataCentreId home;

	private final OnceKey key;

	private final AttemptId attempt;

	Settlement(EventLoop eventLoop, OnceClient client, DataCentreId home, OnceKey key, AttemptId attempt) {
		this.eventLoop = eventLoop;
		this.client = client;
		this.home = home;
		this.key = key;
		this.attempt = attempt;
	}

	@Override
	public void recordAnswer(AnswerHead head, byte[] body, Runnable recorded) {
		StoredAnswer answer = StoredAnswers.of(head, body);
		Runnable recordedOnce = new RunOnce(recorded);
		Future<?> callerTimeout = this.eventLoop.schedule(recordedOnce, MAX_CALLER_WAIT_MILLIS, TimeUnit.MILLISECONDS);
		report(new LedgerCommand.Answer(this.key, this.attempt, Optional.of(answer)), () -> {
			callerTimeout.cancel(false);
			recordedOnce.run();
		});
	}

	@Override
	public void recordOversizedAnswer() {
		report(new LedgerCommand.Answer(this.key, this.attempt, Optional.empty()), () -> {
		});
	}

	@Override
	public void abandon() {
		report(new LedgerCommand.Abandon(this.key, this.attempt), () -> {
		});
	}

	@Override
	public void release() {
		report(new LedgerCommand.Release(this.key, this.attempt), () -> {
		});
	}

	@Override
	public int maxStoredBytes() {
		return LedgerLimits.DEFAULT.maxAnswerBytes();
	}

	private void report(LedgerCommand command, Runnable whenAcknowledged) {
		this.client.addToUnsettledCount(1);
		send(command, whenAcknowledged, INITIAL_RETRY_MILLIS, System.nanoTime());
	}

	private void send(LedgerCommand command, Runnable whenAcknowledged, long retryMillis, long startNanos) {
		this.client.send(this.home, command).whenComplete((outcome, failure) -> {
			if (failure == null) {
				this.client.addToUnsettledCount(-1);
				whenAcknowledged.run();
				return;
			}
			if (System.nanoTime() - startNanos > REPORT_TIMEOUT_NANOS) {
				this.client.addToUnsettledCount(-1);
				logger.warnf("Ledger: data centre %s did not acknowledge the end of an attempt in time.", this.home);
				return;
			}
			this.eventLoop.schedule(
					() -> send(command, whenAcknowledged, Math.min(2 * retryMillis, MAX_RETRY_MILLIS), startNanos),
					retryMillis, TimeUnit.MILLISECONDS);
		});
	}

	/**
	 * Runs an action on the first call and ignores later calls. Used on the VM's event
	 * loop.
	 */
	private static final class RunOnce implements Runnable {

		private Runnable action;

		RunOnce(Runnable action) {
			this.action = action;
		}

		@Override
		public void run() {
			Runnable current = this.action;
			this.action = null;
			if (current != null) {
				current.run();
			}
		}

	}

}
