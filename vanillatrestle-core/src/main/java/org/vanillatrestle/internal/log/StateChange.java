package org.vanillatrestle.internal.log;

/**
 * A change for the state machine. Changes must be applied in the given order.
 * <p>
 * Immutable and thread safe.
 */
public sealed interface StateChange {

	/**
	 * Applies a committed entry.
	 *
	 * @param entry the entry; only a command changes the state machine
	 */
	record Apply(LogEntry entry) implements StateChange {
	}

	/**
	 * Replaces the complete state.
	 *
	 * @param snapshot the snapshot that holds the new state
	 */
	record Restore(Snapshot snapshot) implements StateChange {
	}

}
