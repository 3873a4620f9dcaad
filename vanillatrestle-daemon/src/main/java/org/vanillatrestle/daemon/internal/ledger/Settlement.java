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
 * Tells the ledger how a claimed attempt ended, and goes on until the ledger has heard it
 * or {@link #GIVE_UP_NANOS} have passed; after that, resends learn that the call may have
 * run.
 * <p>
 * Used on the VM's event loop.
 */
final class Settlement implements OnceClaim {

	private static final Logger logger = Logger.getLogger(Settlement.class);

	private static final long FIRST_RETRY_MILLIS = 100;

	private static final long MAX_RETRY_MILLIS = 5_000;

	private static final long CALLER_WAITS_MILLIS = 2_000;

	private static final long GIVE_UP_NANOS = TimeUnit.HOURS.toNanos(1);

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
	public void answered(AnswerHead head, byte[] body, Runnable recorded) {
		StoredAnswer answer = StoredAnswers.of(head, body);
		Runnable once = new OnlyOnce(recorded);
		Future<?> patience = this.eventLoop.schedule(once, CALLER_WAITS_MILLIS, TimeUnit.MILLISECONDS);
		settle(new LedgerCommand.Answer(this.key, this.attempt, Optional.of(answer)), () -> {
			patience.cancel(false);
			once.run();
		});
	}

	@Override
	public void answeredTooLarge() {
		settle(new LedgerCommand.Answer(this.key, this.attempt, Optional.empty()), () -> {
		});
	}

	@Override
	public void abandoned() {
		settle(new LedgerCommand.Abandon(this.key, this.attempt), () -> {
		});
	}

	@Override
	public void released() {
		settle(new LedgerCommand.Release(this.key, this.attempt), () -> {
		});
	}

	@Override
	public int maxStoredBytes() {
		return LedgerLimits.DEFAULT.maxAnswerBytes();
	}

	private void settle(LedgerCommand command, Runnable whenHeard) {
		this.client.countUnsettled(1);
		send(command, whenHeard, FIRST_RETRY_MILLIS, System.nanoTime());
	}

	private void send(LedgerCommand command, Runnable whenHeard, long retryMillis, long sinceNanos) {
		this.client.send(this.home, command).whenComplete((outcome, failure) -> {
			if (failure == null) {
				this.client.countUnsettled(-1);
				whenHeard.run();
				return;
			}
			if (System.nanoTime() - sinceNanos > GIVE_UP_NANOS) {
				this.client.countUnsettled(-1);
				logger.warnf("Ledger: data centre %s never heard how an attempt ended.", this.home);
				return;
			}
			this.eventLoop.schedule(
					() -> send(command, whenHeard, Math.min(2 * retryMillis, MAX_RETRY_MILLIS), sinceNanos),
					retryMillis, TimeUnit.MILLISECONDS);
		});
	}

	/**
	 * Runs an action at its first call only. Used on the VM's event loop.
	 */
	private static final class OnlyOnce implements Runnable {

		private Runnable action;

		OnlyOnce(Runnable action) {
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
