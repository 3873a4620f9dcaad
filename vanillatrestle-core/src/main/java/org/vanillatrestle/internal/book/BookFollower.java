package org.vanillatrestle.internal.book;

import java.util.ArrayList;
import java.util.List;

/**
 * A copy of the contract book on an entry VM. It is updated with pages that are pulled
 * from any VM with a higher change index.
 * <p>
 * The index of the view never decreases, a customer's contract is never replaced by an
 * earlier one, and lost, repeated or reordered pages do not corrupt the copy. When the
 * view has the index {@code n}, every change up to {@code n} is in force. Pages are
 * staged until one completes the transfer, so that a partial transfer is never visible. A
 * page from a VM with a lower change index than the source of the staged pages discards
 * the staged pages and restarts the transfer, as the earlier source may no longer be
 * reachable. All methods except {@link #view()} must be called by one thread at a time.
 */
public final class BookFollower implements BookSource {

	private final ContractTable table = new ContractTable();

	private final List<BookEntry> staged = new ArrayList<>();

	private long stagedIndex;

	private long stagedSourceIndex;

	private volatile BookView view = BookView.EMPTY;

	/**
	 * Returns the contracts in force. Can be called by any thread.
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
	 * Returns the index after which the next page is to be pulled.
	 * @return the index
	 */
	public long nextPullIndex() {
		return this.stagedIndex;
	}

	/**
	 * Processes a pulled page.
	 * @param page the page
	 * @return how the page was processed
	 */
	public PageResult accept(BookPage page) {
		if (page.sourceIndex() <= changeIndex()) {
			return PageResult.STALE;
		}
		if (page.sourceIndex() < this.stagedSourceIndex) {
			discardStaged();
		}
		if (page.afterIndex() > this.stagedIndex) {
			return PageResult.GAP;
		}
		this.staged.addAll(page.entries());
		this.stagedSourceIndex = page.sourceIndex();
		this.stagedIndex = Math.max(this.stagedIndex, page.coveredIndex());
		if (!page.complete()) {
			return PageResult.STAGED;
		}
		putStagedInForce(page.sourceIndex());
		return PageResult.APPLIED;
	}

	private void discardStaged() {
		this.staged.clear();
		this.stagedSourceIndex = 0;
		this.stagedIndex = changeIndex();
	}

	private void putStagedInForce(long index) {
		this.staged.forEach(this.table::put);
		this.view = new BookView(index, this.table.entries());
		discardStaged();
	}

	@Override
	public BookPage entriesAfter(long index, int maxBytes) {
		return this.table.pageAfter(index, maxBytes, Math.max(index, changeIndex()));
	}

	/**
	 * How a page was processed.
	 */
	public enum PageResult {

		/**
		 * The page completed the transfer, and all staged changes are in force.
		 */
		APPLIED,

		/**
		 * The page is staged until the remaining pages arrive; pull again after
		 * {@link BookFollower#nextPullIndex()}.
		 */
		STAGED,

		/**
		 * The page starts above the index received so far and was dropped; pull again
		 * after {@link BookFollower#nextPullIndex()}.
		 */
		GAP,

		/**
		 * The page holds no new change and was dropped.
		 */
		STALE

	}

}
