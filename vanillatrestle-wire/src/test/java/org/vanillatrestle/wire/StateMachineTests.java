package org.vanillatrestle.wire;

import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.vanillatrestle.CallerName;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.OnceKey;
import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.book.BookCommand;
import org.vanillatrestle.internal.book.BookLimits;
import org.vanillatrestle.internal.book.BookOutcome;
import org.vanillatrestle.internal.book.ContractBook;
import org.vanillatrestle.internal.log.StateMachine;
import org.vanillatrestle.internal.once.AttemptId;
import org.vanillatrestle.internal.once.LedgerCommand;
import org.vanillatrestle.internal.once.LedgerLimits;
import org.vanillatrestle.internal.once.LedgerOutcome;
import org.vanillatrestle.internal.once.OnceLedger;
import org.vanillatrestle.internal.once.RequestDigest;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalStateException;

/**
 * Tests for {@link BookStateMachine} and {@link LedgerStateMachine}.
 */
class StateMachineTests {

	private static final byte[] NOISE = { 0, 1, 2, 3 };

	private static final OnceKey KEY = new OnceKey(new CustomerId("himdugdha"), new CallerName("clerks"), "payout");

	private static BookStateMachine book() {
		return new BookStateMachine(new ContractBook(BookLimits.DEFAULT));
	}

	private static LedgerStateMachine ledger() {
		return new LedgerStateMachine(new OnceLedger(new DataCentreId("bagmati-1"), LedgerLimits.DEFAULT, (key) -> {
		}));
	}

	@Test
	void shouldContinueTheBookFromASnapshot() throws MalformedStateException {
		BookCommand command = new BookCommand.Remove("asha", new CustomerId("himdugdha"), 1, 1000);
		BookStateMachine first = book();
		first.apply(3, BookCommandCodec.encode(command));
		BookStateMachine second = book();
		second.restore(3, first.snapshot());
		assertThat(second.book().audit(0, Optional.empty())).hasSize(1);
		assertThat(BookCommandCodec.decodeOutcome(second.apply(4, BookCommandCodec.encode(command))))
			.isInstanceOf(BookOutcome.Conflict.class);
	}

	@Test
	void shouldContinueTheLedgerFromASnapshot() throws MalformedStateException {
		LedgerStateMachine first = ledger();
		first.apply(1, LedgerCommandCodec.encode(new LedgerCommand.Open(1, false)));
		first.apply(2, LedgerCommandCodec.encode(claim(1)));
		LedgerStateMachine second = ledger();
		second.restore(2, first.snapshot());
		assertThat(LedgerCommandCodec.decodeOutcome(second.apply(3, LedgerCommandCodec.encode(claim(2)))))
			.isEqualTo(new LedgerOutcome.InProgress(new AttemptId(0, 1)));
	}

	private static LedgerCommand claim(long attempt) {
		return new LedgerCommand.Claim(KEY, new RequestDigest(1, 2, 3, 4), new AttemptId(0, attempt),
				new VmId("entry-1"), 1);
	}

	@Test
	void shouldGiveAReplyToACommandThatCannotBeRead() throws MalformedStateException {
		assertThat(BookCommandCodec.decodeOutcome(book().apply(1, NOISE))).isInstanceOf(BookOutcome.Invalid.class);
		assertThat(LedgerCommandCodec.decodeOutcome(ledger().apply(1, NOISE))).isEqualTo(new LedgerOutcome.Ignored());
	}

	@Test
	void shouldRefuseASnapshotThatCannotBeRead() {
		for (StateMachine machine : new StateMachine[] { book(), ledger() }) {
			assertThatIllegalStateException().isThrownBy(() -> machine.restore(1, NOISE));
		}
	}

}
