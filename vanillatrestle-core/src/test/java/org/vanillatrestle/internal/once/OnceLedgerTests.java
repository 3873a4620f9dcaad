package org.vanillatrestle.internal.once;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vanillatrestle.CallerName;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.OnceKey;
import org.vanillatrestle.Verdict;
import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.once.LedgerOutcome.AlreadyAnswered;
import org.vanillatrestle.internal.once.LedgerOutcome.AnsweredWithoutCopy;
import org.vanillatrestle.internal.once.LedgerOutcome.DifferentRequest;
import org.vanillatrestle.internal.once.LedgerOutcome.Done;
import org.vanillatrestle.internal.once.LedgerOutcome.Granted;
import org.vanillatrestle.internal.once.LedgerOutcome.Ignored;
import org.vanillatrestle.internal.once.LedgerOutcome.InProgress;
import org.vanillatrestle.internal.once.LedgerOutcome.MayHaveRun;
import org.vanillatrestle.internal.once.LedgerOutcome.NotGranted;
import org.vanillatrestle.internal.once.LedgerOutcome.Reason;
import org.vanillatrestle.internal.once.LedgerOutcome.Refusal;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link OnceLedger}.
 */
class OnceLedgerTests {

	private static final LedgerLimits LIMITS = new LedgerLimits(4, 40, 60, 1000, 100);

	private final List<OnceKey> settledKeys = new ArrayList<>();

	private OnceLedger ledger;

	private long index;

	@BeforeEach
	void open() {
		reopen(1, false);
	}

	private void reopen(long generation, boolean afterLoss) {
		this.index = 0;
		this.ledger = new OnceLedger(new DataCentreId("bagmati-1"), LIMITS, this.settledKeys::add);
		apply(new LedgerCommand.Open(generation, afterLoss));
	}

	@Test
	void shouldReturnStoredAnswerToResend() {
		assertThat(apply(LedgerCommands.claim("payout", 1, 1))).isEqualTo(new Granted());
		assertThat(apply(LedgerCommands.claim("payout", 1, 2))).isEqualTo(new InProgress(LedgerCommands.attempt(1)));
		apply(LedgerCommands.answer("payout", 1, "paid"));
		assertThat(apply(LedgerCommands.claim("payout", 1, 2)))
			.isEqualTo(new AlreadyAnswered(LedgerCommands.storedAnswer("paid")));
		assertThat(this.settledKeys).containsExactly(LedgerCommands.key("payout"));
	}

	@Test
	void shouldGrantRepeatedClaimOfSameAttempt() {
		apply(LedgerCommands.claim("payout", 1, 1));
		assertThat(apply(LedgerCommands.claim("payout", 1, 1))).isEqualTo(new Granted());
	}

	@Test
	void shouldRefuseSameKeyWithDifferentDigest() {
		apply(LedgerCommands.claim("payout", 1, 1));
		assertThat(apply(LedgerCommands.claim("payout", 2, 2))).isEqualTo(new DifferentRequest());
	}

	@Test
	void shouldGrantToAnotherAttemptAfterRelease() {
		apply(LedgerCommands.claim("payout", 1, 1));
		apply(LedgerCommands.release("payout", 1));
		assertThat(apply(LedgerCommands.claim("payout", 1, 1))).isEqualTo(new NotGranted(Refusal.RELEASED));
		assertThat(apply(LedgerCommands.claim("payout", 1, 2))).isEqualTo(new Granted());
	}

	@Test
	void shouldIgnoreLateReleaseOfEarlierAttempt() {
		apply(LedgerCommands.claim("payout", 1, 1));
		apply(LedgerCommands.release("payout", 1));
		apply(LedgerCommands.claim("payout", 1, 2));
		apply(LedgerCommands.release("payout", 1));
		assertThat(apply(LedgerCommands.claim("payout", 1, 3))).isEqualTo(new InProgress(LedgerCommands.attempt(2)));
	}

	@Test
	void shouldNotGrantClaimThatArrivesAfterItsRelease() {
		apply(LedgerCommands.release("payout", 1));
		assertThat(apply(LedgerCommands.claim("payout", 1, 1))).isEqualTo(new NotGranted(Refusal.RELEASED));
		assertThat(apply(LedgerCommands.claim("payout", 1, 2))).isEqualTo(new Granted());
	}

	@Test
	void shouldNotGrantAgainAfterAttemptEndedWithoutAnswer() {
		apply(LedgerCommands.claim("payout", 1, 1));
		apply(LedgerCommands.abandon("payout", 1));
		assertThat(apply(LedgerCommands.claim("payout", 1, 2))).isEqualTo(new MayHaveRun(Reason.ENDED_WITHOUT_ANSWER));
		assertThat(apply(LedgerCommands.answer("payout", 1, "paid"))).isEqualTo(new Done());
		assertThat(apply(LedgerCommands.claim("payout", 1, 2))).isInstanceOf(AlreadyAnswered.class);
	}

	@Test
	void shouldAbandonClaimsOfEndedVm() {
		apply(LedgerCommands.claim("payout", 1, 1));
		apply(new LedgerCommand.AbandonHolder(new VmId("entry-1"), 2));
		assertThat(apply(LedgerCommands.claim("payout", 1, 2))).isEqualTo(new MayHaveRun(Reason.ENDED_WITHOUT_ANSWER));
		assertThat(apply(LedgerCommands.claim("late", 1, 3))).isEqualTo(new NotGranted(Refusal.HOLDER_ENDED));
	}

	@Test
	void shouldIgnoreAnswerOfAttemptThatDoesNotHoldClaim() {
		apply(LedgerCommands.claim("payout", 1, 1));
		assertThat(apply(LedgerCommands.answer("payout", 2, "forged"))).isEqualTo(new Ignored());
		assertThat(apply(LedgerCommands.answer("other", 1, "forged"))).isEqualTo(new Ignored());
	}

	@Test
	void shouldRecordThatCallRanWhenAnswerIsTooLarge() {
		apply(LedgerCommands.claim("payout", 1, 1));
		apply(LedgerCommands.answer("payout", 1, "x".repeat(100)));
		assertThat(apply(LedgerCommands.claim("payout", 1, 2))).isEqualTo(new AnsweredWithoutCopy());
		assertThat(this.ledger.status(LedgerCommands.key("payout")).verdict()).isEqualTo(Verdict.RAN);
	}

	@Test
	void shouldRefuseNewClaimsAndKeepRecordsWhenFull() {
		for (int i = 0; i < 4; i++) {
			apply(LedgerCommands.claim("payout-" + i, 1, i));
		}
		assertThat(apply(LedgerCommands.claim("payout-4", 1, 4))).isEqualTo(new NotGranted(Refusal.FULL));
		assertThat(apply(LedgerCommands.claim("payout-0", 1, 5))).isInstanceOf(InProgress.class);
	}

	@Test
	void shouldRetireGenerationsByLedgerTime() {
		String first = this.ledger.issuedPrefix().orElseThrow() + "payout";
		apply(LedgerCommands.claim(first, 1, 1));
		apply(LedgerCommands.answer(first, 1, "paid"));
		apply(new LedgerCommand.Tick(100));
		assertThat(this.ledger.issuedPrefix()).contains("bagmati-1.2.");
		apply(new LedgerCommand.Tick(999));
		assertThat(apply(LedgerCommands.claim(first, 1, 2))).isInstanceOf(AlreadyAnswered.class);
		apply(new LedgerCommand.Tick(1));
		assertThat(apply(LedgerCommands.claim(first, 1, 2))).isEqualTo(new MayHaveRun(Reason.RETIRED_GENERATION));
		assertThat(this.ledger.size()).isZero();
		assertThat(this.ledger.answersBytes()).isZero();
	}

	@Test
	void shouldNotGrantKeysOfLostLedger() {
		String lost = "bagmati-1.7.payout";
		reopen(1000, true);
		assertThat(apply(LedgerCommands.claim(lost, 1, 1))).isEqualTo(new MayHaveRun(Reason.RETIRED_GENERATION));
		assertThat(apply(LedgerCommands.claim("opaque", 1, 1))).isEqualTo(new MayHaveRun(Reason.QUARANTINE));
		assertThat(apply(LedgerCommands.claim("bagmati-1.1000.payout", 1, 1))).isEqualTo(new Granted());
		apply(new LedgerCommand.Tick(1000));
		assertThat(apply(LedgerCommands.claim("opaque", 1, 1))).isEqualTo(new Granted());
	}

	@Test
	void shouldRecordThatCallsRanAfterDroppingAnswers() {
		apply(LedgerCommands.claim("payout", 1, 1));
		apply(LedgerCommands.answer("payout", 1, "paid"));
		apply(new LedgerCommand.DropAnswers(new CustomerId("himdugdha"), new CallerName("clerks")));
		assertThat(apply(LedgerCommands.claim("payout", 1, 2))).isEqualTo(new AnsweredWithoutCopy());
		assertThat(this.ledger.answersBytes()).isZero();
	}

	@Test
	void shouldRunWaitersOnceWhenClaimIsSettled() {
		OnceWaiters waiters = new OnceWaiters(2);
		List<String> ranWaiters = new ArrayList<>();
		OnceKey key = LedgerCommands.key("payout");
		apply(LedgerCommands.claim("payout", 1, 1));
		Runnable cancelled = () -> ranWaiters.add("cancelled");
		assertThat(waiters.register(this.ledger, key, () -> ranWaiters.add("first"))).isTrue();
		assertThat(waiters.register(this.ledger, key, cancelled)).isTrue();
		assertThat(waiters.register(this.ledger, key, () -> ranWaiters.add("third"))).isFalse();
		waiters.cancel(key, cancelled);
		apply(LedgerCommands.answer("payout", 1, "paid"));
		waiters.claimSettled(key);
		waiters.claimSettled(key);
		assertThat(waiters.register(this.ledger, key, () -> ranWaiters.add("late"))).isTrue();
		assertThat(ranWaiters).containsExactly("first", "late");
		assertThat(waiters.size()).isZero();
	}

	private LedgerOutcome apply(LedgerCommand command) {
		return this.ledger.apply(++this.index, command);
	}

}
