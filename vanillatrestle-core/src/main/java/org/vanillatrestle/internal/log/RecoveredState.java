package org.vanillatrestle.internal.log;

import java.util.List;

/**
 * The state that a replica reads from its disk when it starts.
 * <p>
 * Immutable and thread safe.
 *
 * @param vote the last stored term and vote
 * @param snapshot the last stored snapshot
 * @param entries the entries after the snapshot, with consecutive indexes
 */
public record RecoveredState(Vote vote, Snapshot snapshot, List<LogEntry> entries) {

	public RecoveredState {
		entries = List.copyOf(entries);
	}

	/**
	 * The state of a replica that has never run.
	 * @param membership the initial membership, see {@link Snapshot#initial(Membership)}
	 * @return a state without entries
	 */
	public static RecoveredState initial(Membership membership) {
		return new RecoveredState(Vote.INITIAL, Snapshot.initial(membership), List.of());
	}

}
