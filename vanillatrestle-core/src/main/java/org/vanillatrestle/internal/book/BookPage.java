package org.vanillatrestle.internal.book;

import java.util.List;

/**
 * A page of a contract book that one VM sends to another. For every customer, it contains
 * the latest change if the index of that change is above {@code afterIndex} and at most
 * the index of the page's last entry.
 * <p>
 * Immutable and thread safe. Superseded changes are omitted, so that a VM that is far
 * behind receives only the latest change of each customer.
 *
 * @param afterIndex the requested index; the page contains only changes above it
 * @param entries the entries, in ascending order of index
 * @param sourceIndex the index of the latest change in force on the sending VM
 * @param complete whether the page extends up to {@code sourceIndex}
 */
public record BookPage(long afterIndex, List<BookEntry> entries, long sourceIndex, boolean complete) {

	public BookPage {
		entries = List.copyOf(entries);
		long previous = afterIndex;
		for (BookEntry entry : entries) {
			if (entry.index() <= previous || entry.index() > sourceIndex) {
				throw new IllegalArgumentException(
						"The entries of a page must be in ascending order, with indexes above " + afterIndex
								+ " and at most " + sourceIndex + ", but one has the index " + entry.index() + ".");
			}
			previous = entry.index();
		}
	}

	/**
	 * Returns the index up to which the page contains all changes of the sending VM's
	 * book.
	 * @return the index
	 */
	public long coveredIndex() {
		if (this.complete) {
			return this.sourceIndex;
		}
		return this.entries.isEmpty() ? this.afterIndex : this.entries.get(this.entries.size() - 1).index();
	}

}
