package org.vanillatrestle.daemon.internal.peer;

import org.vanillatrestle.wire.PeerException;

/**
 * Access to the VM's contract book for synchronisation with peers. Called on the event
 * loop only.
 */
public interface BookPort {

	/**
	 * Returns the index of the last entry that this VM has applied.
	 * @return the index, 0 if no entry has been applied
	 */
	long appliedIndex();

	/**
	 * Returns the index after which the next pull should start.
	 * @return the index
	 */
	long nextPullIndex();

	/**
	 * Returns the entries after an index, for a VM that is behind.
	 * @param index the index of the last entry that the requesting VM has
	 * @param maxBytes the maximum size in bytes, which only the first entry may exceed
	 * @return the encoded entries
	 */
	byte[] entriesAfter(long index, int maxBytes);

	/**
	 * Accepts entries that were pulled from another VM.
	 * @param entries the encoded entries
	 * @return whether to pull more from the same VM immediately
	 * @throws PeerException if the entries can't be decoded
	 */
	boolean offer(byte[] entries) throws PeerException;

}
