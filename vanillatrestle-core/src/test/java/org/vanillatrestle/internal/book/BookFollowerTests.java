package org.vanillatrestle.internal.book;

import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.internal.book.BookFollower.PageResult;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Tests for {@link BookFollower}.
 */
class BookFollowerTests {

	private final ContractBook book = new ContractBook(BookLimits.DEFAULT);

	private final BookFollower follower = new BookFollower();

	@BeforeEach
	void fillBook() {
		for (int i = 1; i <= 4; i++) {
			this.book.apply(i, ContractDocuments.apply("asha", "team-" + i, 1, 1));
		}
	}

	@Test
	void shouldNotShowAnIncompleteTransfer() {
		assertThat(this.follower.accept(this.book.entriesAfter(0, 1))).isEqualTo(PageResult.STAGED);
		assertThat(this.follower.view().size()).isZero();
		assertThat(this.follower.nextPullIndex()).isEqualTo(1);
		assertThat(this.follower.accept(this.book.entriesAfter(1, Integer.MAX_VALUE))).isEqualTo(PageResult.APPLIED);
		assertThat(this.follower.view().size()).isEqualTo(4);
		assertThat(this.follower.changeIndex()).isEqualTo(4);
	}

	@Test
	void shouldRestartTheTransferFromAVmWithALowerIndex() {
		BookFollower otherFollower = new BookFollower();
		otherFollower.accept(this.book.entriesAfter(0, Integer.MAX_VALUE));
		this.book.apply(5, ContractDocuments.apply("asha", "team-5", 1, 1));
		assertThat(this.follower.accept(this.book.entriesAfter(0, 1))).isEqualTo(PageResult.STAGED);
		BookPage page = otherFollower.entriesAfter(this.follower.nextPullIndex(), Integer.MAX_VALUE);
		assertThat(this.follower.accept(page)).isEqualTo(PageResult.GAP);
		page = otherFollower.entriesAfter(this.follower.nextPullIndex(), Integer.MAX_VALUE);
		assertThat(this.follower.accept(page)).isEqualTo(PageResult.APPLIED);
		assertThat(this.follower.changeIndex()).isEqualTo(4);
	}

	@Test
	void shouldSendEachContractOnceToAFollowerThatIsBehind() {
		this.book.apply(5, ContractDocuments.apply("asha", "team-1", 2, 2));
		this.book.apply(6, ContractDocuments.remove("asha", "team-2", 2));
		BookPage page = this.book.entriesAfter(0, Integer.MAX_VALUE);
		assertThat(page.entries()).extracting(BookEntry::index).containsExactly(3L, 4L, 5L, 6L);
		this.follower.accept(page);
		assertThat(this.follower.view().contract(new CustomerId("team-2"))).isEmpty();
		assertThat(
				this.follower.view().lookup(ContractDocuments.keySha256("team-1")).orElseThrow().contract().revision())
			.isEqualTo(2);
		assertThat(this.follower.view().lookup(ContractDocuments.keySha256("team-2"))).isEmpty();
		assertThat(this.follower.view().lookup("")).isEmpty();
	}

	@Test
	void shouldDropPagesWithoutNewChanges() {
		BookPage page = this.book.entriesAfter(0, Integer.MAX_VALUE);
		this.follower.accept(page);
		assertThat(this.follower.accept(page)).isEqualTo(PageResult.STALE);
		assertThat(this.follower.accept(new BookPage(0, List.of(), 0, true))).isEqualTo(PageResult.STALE);
	}

	@Test
	void shouldRejectPagesWithEntriesNotInAscendingOrder() {
		List<BookEntry> entries = List.of(BookEntry.removal(2, new CustomerId("a"), 1),
				BookEntry.removal(1, new CustomerId("b"), 1));
		assertThatIllegalArgumentException().isThrownBy(() -> new BookPage(0, entries, 2, true));
	}

}
