package org.vanillatrestle.daemon.internal.peer;

import org.vanillatrestle.wire.PeerException;

/**
 * The VM's contract book as peers see it. Called on the event loop only.
 */
public interface BookPort {

	/**
	 * Returns the index up to which the book is in force here.
	 * @return the index, 0 if there is none
	 */
	long appliedIndex();

	/**
	 * Returns the index after which the next entries should be pulled.
	 * @return the index
	 */
	long nextPullIndex();

	/**
	 * Returns what follows an index, for a VM that is behind.
	 * @param index the index that the asking VM has
	 * @param maxBytes the size not to be exceeded but by a first entry
	 * @return the entries
	 */
	byte[] entriesAfter(long index, int maxBytes);

	/**
	 * Takes entries that another VM gave.
	 * @param entries the entries
	 * @return whether more should be pulled from the same VM at once
	 * @throws PeerException if the bytes are no entries
	 */
	boolean offer(byte[] entries) throws PeerException;

}
