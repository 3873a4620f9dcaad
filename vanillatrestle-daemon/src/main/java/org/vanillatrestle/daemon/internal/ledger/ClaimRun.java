package org.vanillatrestle.daemon.internal.ledger;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.daemon.internal.pipeline.Exchange;
import org.vanillatrestle.daemon.internal.pipeline.Filter;
import org.vanillatrestle.daemon.internal.pipeline.Refusals;
import org.vanillatrestle.internal.once.LedgerCommand;
import org.vanillatrestle.internal.once.LedgerOutcome;

/**
 * One request's claim, asked for under one attempt id until the ledger has answered.
 * <p>
 * An answer that was lost is asked for again, so that the attempt learns its own outcome.
 * Used on the VM's event loop.
 */
final class ClaimRun {

	private static final long RETRY_MILLIS = 100;

	private static final long COME_BACK_MILLIS = 1_000;

	private static final long GIVE_UP_NANOS = 5_000_000_000L;

	private final Exchange exchange;

	private final Filter.Continuation next;

	private final EventLoop eventLoop;

	private final OnceClient client;

	private final DataCentreId home;

	private final LedgerCommand.Claim command;

	private final Settlement settlement;

	private final LongSupplier clockNanos;

	private long unreachableSinceNanos = -1;

	ClaimRun(Exchange exchange, Filter.Continuation next, EventLoop eventLoop, OnceClient client, DataCentreId home,
			LedgerCommand.Claim command, Settlement settlement, LongSupplier clockNanos) {
		this.exchange = exchange;
		this.next = next;
		this.eventLoop = eventLoop;
		this.client = client;
		this.home = home;
		this.command = command;
		this.settlement = settlement;
		this.clockNanos = clockNanos;
	}

	void start() {
		ask();
	}

	private void ask() {
		if (this.exchange.isEnded()) {
			this.settlement.released();
			return;
		}
		if (this.clockNanos.getAsLong() >= this.exchange.deadlineNanos()) {
			giveUp();
			return;
		}
		this.client.send(this.home, this.command).whenComplete((outcome, failure) -> {
			if (failure != null) {
				failed();
				return;
			}
			if (isNotOpenYet(outcome)) {
				failed();
				return;
			}
			this.unreachableSinceNanos = -1;
			decided(outcome);
		});
	}

	private static boolean isNotOpenYet(LedgerOutcome outcome) {
		return outcome instanceof LedgerOutcome.NotGranted notGranted
				&& notGranted.reason() == LedgerOutcome.Refusal.NOT_OPEN;
	}

	private void failed() {
		long nowNanos = this.clockNanos.getAsLong();
		if (this.unreachableSinceNanos < 0) {
			this.unreachableSinceNanos = nowNanos;
		}
		if (nowNanos - this.unreachableSinceNanos > GIVE_UP_NANOS) {
			giveUp();
			return;
		}
		askLater();
	}

	private void askLater() {
		this.eventLoop.schedule(this::ask, RETRY_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void giveUp() {
		this.settlement.released();
		this.exchange.refuse(Refusals.ledgerUnreachable(this.exchange.caller().home(), COME_BACK_MILLIS));
	}

	private void decided(LedgerOutcome outcome) {
		if (outcome instanceof LedgerOutcome.Granted) {
			granted();
		}
		else if (outcome instanceof LedgerOutcome.AlreadyAnswered answered) {
			this.exchange.answer(StoredAnswers.toHead(answered.answer()), answered.answer().body(),
					this.clockNanos.getAsLong());
		}
		else if (outcome instanceof LedgerOutcome.InProgress) {
			waitForOther();
		}
		else {
			this.exchange.refuse(ClaimRefusals.of(outcome, COME_BACK_MILLIS));
		}
	}

	private void granted() {
		if (this.exchange.isEnded()) {
			this.settlement.released();
			return;
		}
		this.exchange.claimed(this.settlement);
		this.next.proceed();
	}

	private void waitForOther() {
		if (this.clockNanos.getAsLong() >= this.exchange.deadlineNanos()) {
			this.exchange.refuse(Refusals.keyInProgress(COME_BACK_MILLIS));
			return;
		}
		askLater();
	}

}
