package org.vanillatrestle.internal.book;

/**
 * A VM's contract book from which other VMs can pull.
 * <p>
 * Implementations are not thread safe unless they say so.
 */
public interface BookSource {

	/**
	 * Returns the index of the latest change in force here.
	 * @return the index, 0 if there is none
	 */
	long changeIndex();

	/**
	 * Returns what changed above an index. The first entry is returned whatever its size,
	 * so that each page makes progress.
	 * @param index the index that the asking VM has
	 * @param maxBytes the size that the page should not exceed, in bytes of JSON
	 * @return the page
	 */
	BookPage entriesAfter(long index, int maxBytes);

}
