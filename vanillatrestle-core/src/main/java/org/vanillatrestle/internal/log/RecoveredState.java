package org.vanillatrestle.internal.log;

import java.util.List;

/**
 * What a replica finds on its disk when it starts.
 * <p>
 * Immutable and thread safe.
 *
 * @param vote the last term and vote
 * @param snapshot the last snapshot
 * @param entries the entries after the snapshot, without gaps
 */
public record RecoveredState(Vote vote, Snapshot snapshot, List<LogEntry> entries) {

	public RecoveredState {
		entries = List.copyOf(entries);
	}

	/**
	 * The state of a replica that never ran.
	 * @param membership see {@link Snapshot#initial(Membership)}
	 * @return a state without entries
	 */
	public static RecoveredState initial(Membership membership) {
		return new RecoveredState(Vote.INITIAL, Snapshot.initial(membership), List.of());
	}

}
