package org.vanillatrestle.internal.log;

/**
 * What the committed commands are applied to. Called by one thread at a time, in the
 * order of the log; equal commands in equal order must give equal replies and snapshots.
 */
public interface StateMachine {

	/**
	 * Applies a committed command.
	 * @param index the index of the entry, ascending but with gaps
	 * @param command the command as proposed
	 * @return the reply for the proposer
	 */
	byte[] apply(long index, byte[] command);

	/**
	 * The whole state after the last command applied.
	 * @return bytes for {@link #restore}
	 */
	byte[] snapshot();

	/**
	 * Replaces the whole state.
	 * @param index the index of the last entry within the snapshot
	 * @param snapshot bytes from {@link #snapshot()}
	 */
	void restore(long index, byte[] snapshot);

}
