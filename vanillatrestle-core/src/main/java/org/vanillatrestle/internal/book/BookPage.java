package org.vanillatrestle.internal.book;

import java.util.List;

/**
 * A part of a contract book as one VM hands it to another: every customer whose latest
 * change lies above {@code afterIndex} and at most at the page's last entry.
 * <p>
 * Immutable and thread safe. Superseded changes are left out, so that a VM which is far
 * behind is sent no more than the contracts in force.
 *
 * @param afterIndex the index that was asked for
 * @param entries the entries, ascending by index
 * @param sourceIndex the index of the latest change that the giving VM has in force
 * @param complete whether the page reaches the {@code sourceIndex}
 */
public record BookPage(long afterIndex, List<BookEntry> entries, long sourceIndex, boolean complete) {

	public BookPage {
		entries = List.copyOf(entries);
		long previous = afterIndex;
		for (BookEntry entry : entries) {
			if (entry.index() <= previous || entry.index() > sourceIndex) {
				throw new IllegalArgumentException("The entries of a page ascend from above " + afterIndex
						+ " to at most " + sourceIndex + ", but one has the index " + entry.index() + ".");
			}
			previous = entry.index();
		}
	}

	/**
	 * Returns up to which index the page covers the giving VM's book.
	 * @return the index
	 */
	public long coveredIndex() {
		if (this.complete) {
			return this.sourceIndex;
		}
		return this.entries.isEmpty() ? this.afterIndex : this.entries.get(this.entries.size() - 1).index();
	}

}
