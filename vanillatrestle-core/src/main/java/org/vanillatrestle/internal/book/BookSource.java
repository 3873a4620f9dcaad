package org.vanillatrestle.internal.book;

/**
 * A contract book from which other VMs can pull changes.
 * <p>
 * Implementations are not thread safe unless documented otherwise.
 */
public interface BookSource {

	/**
	 * Returns the log index of the latest change in force in this book.
	 * @return the index, 0 if there was no change
	 */
	long changeIndex();

	/**
	 * Returns the changes above an index. The first entry is returned regardless of its
	 * size, so that each page makes progress.
	 * @param index the index up to which the requesting VM has all changes
	 * @param maxBytes the size that the page's entries should not exceed, in bytes of
	 * JSON
	 * @return the page
	 */
	BookPage entriesAfter(long index, int maxBytes);

}
