package org.vanillatrestle.daemon.internal.storage;

import java.util.ArrayList;
import java.util.List;

import org.vanillatrestle.internal.log.LogEntry;
import org.vanillatrestle.internal.log.RecoveredState;
import org.vanillatrestle.internal.log.Snapshot;
import org.vanillatrestle.internal.log.Vote;
import org.vanillatrestle.wire.LogRecordCodec;
import org.vanillatrestle.wire.MalformedMessageException;

/**
 * Rebuilds the state of a replica from the records of its segments, in write order.
 * <p>
 * Entry indexes must be consecutive, except for gaps that the snapshot covers. Not thread
 * safe.
 */
final class RecordReplayer {

	private final Snapshot snapshot;

	private final List<LogEntry> entries = new ArrayList<>();

	private Vote vote = Vote.INITIAL;

	RecordReplayer(Snapshot snapshot) {
		this.snapshot = snapshot;
	}

	void add(RecordFormat.StoredRecord record) throws StorageException {
		try {
			switch (record.type()) {
				case VOTE -> setVote(LogRecordCodec.decodeVote(record.payload()));
				case ENTRY -> add(LogRecordCodec.decodeEntry(record.payload()));
				case RESET -> this.entries.clear();
				case HEADER, CLOSED -> {
				}
			}
		}
		catch (MalformedMessageException ex) {
			throw new StorageException(StorageException.Reason.DAMAGED, "a record of the log can't be decoded", ex);
		}
	}

	private void setVote(Vote newVote) {
		this.vote = newVote;
	}

	private void add(LogEntry entry) throws StorageException {
		long expectedIndex = this.entries.isEmpty() ? entry.index() : lastIndex() + 1;
		if (entry.index() > expectedIndex) {
			if (entry.index() > this.snapshot.lastIndex() + 1) {
				throw missingEntry(expectedIndex);
			}
			this.entries.clear();
		}
		int retainedCount = (int) Math.max(0, this.entries.size() - (expectedIndex - entry.index()));
		this.entries.subList(retainedCount, this.entries.size()).clear();
		this.entries.add(entry);
	}

	private long lastIndex() {
		return this.entries.get(this.entries.size() - 1).index();
	}

	/**
	 * Returns the state after the last record.
	 * @return the vote, the snapshot and the entries after the snapshot
	 * @throws StorageException if entries after the snapshot are missing
	 */
	RecoveredState buildRecoveredState() throws StorageException {
		return new RecoveredState(this.vote, this.snapshot, entriesAfterSnapshot());
	}

	private List<LogEntry> entriesAfterSnapshot() throws StorageException {
		long coveredIndex = this.snapshot.lastIndex();
		if (this.entries.isEmpty() || lastIndex() <= coveredIndex) {
			return List.of();
		}
		long first = this.entries.get(0).index();
		if (first > coveredIndex + 1) {
			throw missingEntry(coveredIndex + 1);
		}
		if (first == coveredIndex + 1) {
			return this.entries;
		}
		int position = (int) (coveredIndex - first);
		boolean sameTerm = this.entries.get(position).term() == this.snapshot.lastTerm();
		return sameTerm ? this.entries.subList(position + 1, this.entries.size()) : List.of();
	}

	/**
	 * Returns whether the records contain entries of which the snapshot leaves none, so
	 * that a reset record must be written before any other record.
	 * @return {@code true} if the process crashed after it wrote a snapshot and before it
	 * wrote the reset record
	 * @throws StorageException if entries after the snapshot are missing
	 */
	boolean isResetRequired() throws StorageException {
		return !this.entries.isEmpty() && entriesAfterSnapshot().isEmpty();
	}

	private static StorageException missingEntry(long index) {
		return new StorageException(StorageException.Reason.DAMAGED, "entry " + index + " is missing");
	}

}
