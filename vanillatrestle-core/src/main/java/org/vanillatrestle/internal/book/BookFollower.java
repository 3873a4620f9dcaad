package org.vanillatrestle.internal.book;

import java.util.ArrayList;
import java.util.List;

/**
 * An entry VM's copy of the contract book, filled by pages pulled from any VM that is
 * ahead.
 * <p>
 * The view's index never falls, a customer's contract is never replaced by an earlier
 * one, and pages that were lost, repeated or reordered do no harm. A copy that is told of
 * the index {@code n} has every change up to {@code n} in force. Pages are staged until
 * one is complete, so that a copy which is half fetched is never seen. A page of a VM
 * that is less far than the one whose pages are staged begins the staging anew, as that
 * VM may be gone. All methods but {@link #view()} must be called by one thread at a time.
 */
public final class BookFollower implements BookSource {

	private final ContractTable table = new ContractTable();

	private final List<BookEntry> staged = new ArrayList<>();

	private long cursor;

	private long stagedSourceIndex;

	private volatile BookView view = BookView.EMPTY;

	/**
	 * Returns the contracts in force. May be called by any thread.
	 * @return the view
	 */
	public BookView view() {
		return this.view;
	}

	@Override
	public long changeIndex() {
		return this.view.index();
	}

	/**
	 * Returns the index after which the next page should be pulled.
	 * @return the index
	 */
	public long nextPullIndex() {
		return this.cursor;
	}

	/**
	 * Takes in a page.
	 * @param page the page
	 * @return what became of it
	 */
	public Intake accept(BookPage page) {
		if (page.sourceIndex() <= changeIndex()) {
			return Intake.STALE;
		}
		if (page.sourceIndex() < this.stagedSourceIndex) {
			dropStaged();
		}
		if (page.afterIndex() > this.cursor) {
			return Intake.GAP;
		}
		this.staged.addAll(page.entries());
		this.stagedSourceIndex = page.sourceIndex();
		this.cursor = Math.max(this.cursor, page.coveredIndex());
		if (!page.complete()) {
			return Intake.STAGED;
		}
		bringIntoForce(page.sourceIndex());
		return Intake.IN_FORCE;
	}

	private void dropStaged() {
		this.staged.clear();
		this.stagedSourceIndex = 0;
		this.cursor = changeIndex();
	}

	private void bringIntoForce(long index) {
		this.staged.forEach(this.table::put);
		this.view = new BookView(index, this.table.entries());
		dropStaged();
	}

	@Override
	public BookPage entriesAfter(long index, int maxBytes) {
		return this.table.pageAfter(index, maxBytes, Math.max(index, changeIndex()));
	}

	/**
	 * What became of a page.
	 */
	public enum Intake {

		/**
		 * Its changes are in force.
		 */
		IN_FORCE,

		/**
		 * It waits for the rest; pull again after {@link BookFollower#nextPullIndex()}.
		 */
		STAGED,

		/**
		 * It does not follow what is known; pull again after
		 * {@link BookFollower#nextPullIndex()}.
		 */
		GAP,

		/**
		 * It tells nothing new and was dropped.
		 */
		STALE

	}

}
