package org.vanillatrestle.internal.book;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.book.BookOutcome.Accepted;
import org.vanillatrestle.internal.book.BookOutcome.Conflict;
import org.vanillatrestle.internal.book.BookOutcome.Invalid;
import org.vanillatrestle.internal.book.BookOutcome.Repeated;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Tests for {@link ContractBook}.
 */
class ContractBookTests {

	private static final CustomerId CUSTOMER = new CustomerId("himdugdha");

	private final ContractBook book = new ContractBook(BookLimits.DEFAULT);

	private long index;

	@Test
	void shouldAcceptOnlyTheNextRevision() {
		assertThat(apply(ContractDocuments.apply("asha", "himdugdha", 7, 1))).isEqualTo(new Accepted(1, 7));
		assertThat(apply(ContractDocuments.apply("asha", "himdugdha", 8, 2))).isEqualTo(new Accepted(2, 8));
		assertThat(apply(ContractDocuments.apply("asha", "himdugdha", 10, 3))).isInstanceOf(Conflict.class);
		assertThat(this.book.entry(CUSTOMER).orElseThrow().revision()).isEqualTo(8);
	}

	@Test
	void shouldReturnTheOriginalOutcomeForARepeatedChangeAfterALaterChange() {
		apply(ContractDocuments.apply("asha", "himdugdha", 1, 1));
		apply(ContractDocuments.apply("bina", "himdugdha", 2, 2));
		assertThat(apply(ContractDocuments.apply("asha", "himdugdha", 1, 1))).isEqualTo(new Repeated(1, 1));
		assertThat(this.book.entry(CUSTOMER).orElseThrow().revision()).isEqualTo(2);
	}

	@Test
	void shouldReturnTheContractInForceOnAConflict() {
		apply(ContractDocuments.apply("asha", "himdugdha", 1, 1));
		BookOutcome outcome = apply(ContractDocuments.apply("bina", "himdugdha", 1, 2));
		assertThat(outcome).isInstanceOfSatisfying(Conflict.class, (conflict) -> {
			assertThat(conflict.revision()).isEqualTo(1);
			assertThat(conflict.inForce()).contains(ContractDocuments.contract("himdugdha", 1, 1));
		});
	}

	@Test
	void shouldContinueTheRevisionsAfterARemoval() {
		apply(ContractDocuments.apply("asha", "himdugdha", 1, 1));
		assertThat(apply(ContractDocuments.remove("asha", "himdugdha", 2))).isEqualTo(new Accepted(2, 2));
		assertThat(apply(ContractDocuments.remove("asha", "himdugdha", 2))).isEqualTo(new Repeated(2, 2));
		assertThat(apply(ContractDocuments.remove("asha", "himdugdha", 3))).isInstanceOf(Conflict.class);
		assertThat(apply(ContractDocuments.apply("asha", "himdugdha", 1, 2))).isInstanceOf(Conflict.class);
		assertThat(apply(ContractDocuments.apply("asha", "himdugdha", 3, 2))).isEqualTo(new Accepted(6, 3));
	}

	@Test
	void shouldRejectANewHomeRegionOfACallerAfterARemoval() {
		apply(ContractDocuments.apply("asha", "himdugdha", 1, 1));
		apply(ContractDocuments.remove("asha", "himdugdha", 2));
		String documentWithNewHome = ContractDocuments.document("himdugdha", 3, 1, "koshi",
				ContractDocuments.keySha256("himdugdha"));
		assertThat(apply(new BookCommand.Apply("asha", CUSTOMER, documentWithNewHome, 1000))).isInstanceOfSatisfying(
				Invalid.class, (invalid) -> assertThat(invalid.path()).isEqualTo("$.callers[0].home"));
	}

	@Test
	void shouldRejectAKeyOfAnotherCustomer() {
		apply(ContractDocuments.apply("asha", "himdugdha", 1, 1));
		String documentWithForeignKey = ContractDocuments.document("other", 1, 1, "bagmati",
				ContractDocuments.keySha256("himdugdha"));
		assertThat(apply(new BookCommand.Apply("asha", new CustomerId("other"), documentWithForeignKey, 1000)))
			.isInstanceOfSatisfying(Invalid.class,
					(invalid) -> assertThat(invalid.path()).isEqualTo("$.callers[0].keySha256"));
	}

	@Test
	void shouldRejectADocumentOfAnotherCustomer() {
		String document = ContractDocuments.document("other", 1, 1);
		assertThat(apply(new BookCommand.Apply("asha", CUSTOMER, document, 1000))).isInstanceOfSatisfying(Invalid.class,
				(invalid) -> assertThat(invalid.path()).isEqualTo("$.customer"));
	}

	@Test
	void shouldRejectARevisionAboveTheMaximum() {
		assertThat(apply(ContractDocuments.apply("asha", "himdugdha", Long.MAX_VALUE, 1)))
			.isInstanceOfSatisfying(Invalid.class, (invalid) -> assertThat(invalid.path()).isEqualTo("$.revision"));
		assertThat(this.book.entry(CUSTOMER)).isEmpty();
	}

	@Test
	void shouldRecordEveryChangeWithItsDifferencesInTheAuditTrail() {
		apply(ContractDocuments.apply("asha", "himdugdha", 1, 1));
		apply(ContractDocuments.apply("bina", "himdugdha", 2, 2));
		apply(ContractDocuments.apply("bina", "himdugdha", 2, 2));
		apply(ContractDocuments.apply("chandra", "himdugdha", 2, 3));
		apply(new BookCommand.Apply("chandra", CUSTOMER, "{", 1000));
		List<AuditRecord> records = this.book.audit(0, Optional.of(CUSTOMER));
		assertThat(records).extracting(AuditRecord::event)
			.containsExactly(AuditEvent.ACCEPTED, AuditEvent.ACCEPTED, AuditEvent.REPEATED, AuditEvent.CONFLICT,
					AuditEvent.INVALID);
		assertThat(records.get(1).diff().changes())
			.containsExactly(new DocumentChange("$.services[sheets].priority", "1", "2"));
		assertThat(records.get(3).actor()).isEqualTo("chandra");
	}

	@Test
	void shouldLimitVmEventsSeparatelyFromContractChanges() {
		ContractBook limitedBook = new ContractBook(new BookLimits(10, 4, 10, 5, 2, 1_000_000));
		limitedBook.apply(1, ContractDocuments.apply("asha", "himdugdha", 1, 1));
		for (int i = 2; i < 20; i++) {
			limitedBook.apply(i, new BookCommand.RecordVmEvent(new VmId("entry-1"), new VmId("entry-2"),
					new RegionId("koshi"), AuditEvent.VM_SUSPECTED, 1000));
		}
		assertThat(limitedBook.audit(0, Optional.empty())).extracting(AuditRecord::index).containsExactly(1L, 18L, 19L);
	}

	@Test
	void shouldKeepMostAuditRecordsWhenTheWallClockJumpsAhead() {
		for (int i = 1; i <= 10; i++) {
			apply(ContractDocuments.apply("asha", "himdugdha", i, i % 5));
		}
		String document = ContractDocuments.document("himdugdha", 11, 4);
		apply(new BookCommand.Apply("asha", CUSTOMER, document, Long.MAX_VALUE / 2));
		assertThat(this.book.audit(0, Optional.empty())).hasSize(9);
	}

	@Test
	void shouldRejectAnIndexThatDoesNotIncrease() {
		apply(ContractDocuments.apply("asha", "himdugdha", 1, 1));
		assertThatIllegalArgumentException()
			.isThrownBy(() -> this.book.apply(1, ContractDocuments.apply("asha", "himdugdha", 2, 1)));
	}

	private BookOutcome apply(BookCommand command) {
		return this.book.apply(++this.index, command);
	}

}
