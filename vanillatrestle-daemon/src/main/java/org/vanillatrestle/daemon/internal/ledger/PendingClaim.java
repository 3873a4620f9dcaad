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
 * The claim of one request. The claim command is sent with the same attempt id until the
 * ledger returns a final outcome, the request ends or reaches its deadline, or the ledger
 * has been unreachable for {@link #UNREACHABLE_TIMEOUT_NANOS}.
 * <p>
 * If a reply is lost, the command is sent again, and the ledger returns the outcome of
 * this attempt. Used on the VM's event loop.
 */
final class PendingClaim {

	private static final long RETRY_DELAY_MILLIS = 100;

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private static final long UNREACHABLE_TIMEOUT_NANOS = 5_000_000_000L;

	private final Exchange exchange;

	private final Filter.Continuation next;

	private final EventLoop eventLoop;

	private final OnceClient client;

	private final DataCentreId home;

	private final LedgerCommand.Claim command;

	private final Settlement settlement;

	private final LongSupplier clockNanos;

	private long unreachableSinceNanos = -1;

	PendingClaim(Exchange exchange, Filter.Continuation next, EventLoop eventLoop, OnceClient client, DataCentreId home,
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
		sendClaim();
	}

	private void sendClaim() {
		if (this.exchange.isEnded()) {
			this.settlement.release();
			return;
		}
		if (this.clockNanos.getAsLong() >= this.exchange.deadlineNanos()) {
			giveUp();
			return;
		}
		this.client.send(this.home, this.command).whenComplete((outcome, failure) -> {
			if (failure != null) {
				handleFailure();
				return;
			}
			if (isLedgerNotOpen(outcome)) {
				handleFailure();
				return;
			}
			this.unreachableSinceNanos = -1;
			handleOutcome(outcome);
		});
	}

	private static boolean isLedgerNotOpen(LedgerOutcome outcome) {
		return outcome instanceof LedgerOutcome.NotGranted notGranted
				&& notGranted.reason() == LedgerOutcome.Refusal.NOT_OPEN;
	}

	private void handleFailure() {
		long nowNanos = this.clockNanos.getAsLong();
		if (this.unreachableSinceNanos < 0) {
			this.unreachableSinceNanos = nowNanos;
		}
		if (nowNanos - this.unreachableSinceNanos > UNREACHABLE_TIMEOUT_NANOS) {
			giveUp();
			return;
		}
		scheduleRetry();
	}

	private void scheduleRetry() {
		this.eventLoop.schedule(this::sendClaim, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void giveUp() {
		this.settlement.release();
		this.exchange.refuse(Refusals.ledgerUnreachable(this.exchange.caller().homeRegion(), RETRY_AFTER_MILLIS));
	}

	private void handleOutcome(LedgerOutcome outcome) {
		if (outcome instanceof LedgerOutcome.Granted) {
			handleGranted();
		}
		else if (outcome instanceof LedgerOutcome.AlreadyAnswered answered) {
			this.exchange.answer(StoredAnswers.toHead(answered.answer()), answered.answer().body(),
					this.clockNanos.getAsLong());
		}
		else if (outcome instanceof LedgerOutcome.InProgress) {
			retryWhileInProgress();
		}
		else {
			this.exchange.refuse(ClaimRefusals.of(outcome, RETRY_AFTER_MILLIS));
		}
	}

	private void handleGranted() {
		if (this.exchange.isEnded()) {
			this.settlement.release();
			return;
		}
		this.exchange.setClaim(this.settlement);
		this.next.proceed();
	}

	private void retryWhileInProgress() {
		if (this.clockNanos.getAsLong() >= this.exchange.deadlineNanos()) {
			this.exchange.refuse(Refusals.keyInProgress(RETRY_AFTER_MILLIS));
			return;
		}
		scheduleRetry();
	}

}
