package org.vanillatrestle.internal.log;

/**
 * Applies the committed commands. Called by one thread at a time, in log order. Must be
 * deterministic: the same commands in the same order must produce the same replies and
 * snapshots.
 */
public interface StateMachine {

	/**
	 * Applies a committed command.
	 * @param index the log index of the command; increases from call to call, with gaps
	 * @param command the command as proposed
	 * @return the reply to the proposer
	 */
	byte[] apply(long index, byte[] command);

	/**
	 * Serialises the complete state after the last applied command.
	 * @return the state in the form that {@link #restore} reads
	 */
	byte[] snapshot();

	/**
	 * Replaces the complete state.
	 * @param index the index of the last entry covered by the snapshot
	 * @param snapshot a state returned by {@link #snapshot()}
	 */
	void restore(long index, byte[] snapshot);

}
