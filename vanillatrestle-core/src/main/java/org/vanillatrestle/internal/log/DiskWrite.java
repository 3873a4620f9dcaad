package org.vanillatrestle.internal.log;

import java.util.List;

/**
 * A write for the storage. Writes must be executed in the given order, and synced before
 * they are reported as completed.
 * <p>
 * Immutable and thread safe.
 */
public sealed interface DiskWrite {

	/**
	 * Stores the term and the vote.
	 *
	 * @param vote replaces the stored one
	 */
	record SaveVote(Vote vote) implements DiskWrite {
	}

	/**
	 * Appends entries, after removing all stored entries from the index of the first new
	 * entry on.
	 *
	 * @param entries the entries, with consecutive indexes, never empty
	 */
	record AppendEntries(List<LogEntry> entries) implements DiskWrite {
	}

	/**
	 * Stores a snapshot; the entries that it covers may be deleted.
	 *
	 * @param snapshot replaces the stored one
	 * @param discardLog whether entries after the snapshot must be deleted too
	 */
	record SaveSnapshot(Snapshot snapshot, boolean discardLog) implements DiskWrite {
	}

}
