package org.vanillatrestle.internal.log;

/**
 * A change that the state machine must make, in the order given.
 * <p>
 * Immutable and thread safe.
 */
public sealed interface StateChange {

	/**
	 * Applies a committed entry.
	 *
	 * @param entry the entry; only commands change the state machine
	 */
	record Apply(LogEntry entry) implements StateChange {
	}

	/**
	 * Replaces the state.
	 *
	 * @param snapshot the state to begin from
	 */
	record Restore(Snapshot snapshot) implements StateChange {
	}

}
