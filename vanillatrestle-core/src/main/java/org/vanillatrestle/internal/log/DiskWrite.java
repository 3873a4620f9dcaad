package org.vanillatrestle.internal.log;

import java.util.List;

/**
 * A write that the storage must carry out in the order given, and sync before it is
 * reported as completed.
 * <p>
 * Immutable and thread safe.
 */
public sealed interface DiskWrite {

	/**
	 * Keeps term and vote.
	 *
	 * @param vote replaces the one kept before
	 */
	record SaveVote(Vote vote) implements DiskWrite {
	}

	/**
	 * Appends entries; removes what the log holds from the first one's index on.
	 *
	 * @param entries with consecutive indexes, never empty
	 */
	record AppendEntries(List<LogEntry> entries) implements DiskWrite {
	}

	/**
	 * Keeps a snapshot; the entries within may be dropped.
	 *
	 * @param snapshot replaces the one kept before
	 * @param discardLog whether entries after the snapshot must be dropped too
	 */
	record SaveSnapshot(Snapshot snapshot, boolean discardLog) implements DiskWrite {
	}

}
