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
 * Puts the state of a replica together from the records of its segments, in their order.
 * <p>
 * Entries are consecutive; a gap is allowed only where the snapshot covers it. Not thread
 * safe.
 */
final class Replay {

	private final Snapshot snapshot;

	private final List<LogEntry> entries = new ArrayList<>();

	private Vote vote = Vote.INITIAL;

	Replay(Snapshot snapshot) {
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
			throw new StorageException(StorageException.Reason.DAMAGED, "a record of the log is damaged", ex);
		}
	}

	private void setVote(Vote newVote) {
		this.vote = newVote;
	}

	private void add(LogEntry entry) throws StorageException {
		long next = this.entries.isEmpty() ? entry.index() : lastIndex() + 1;
		if (entry.index() > next) {
			if (entry.index() > this.snapshot.lastIndex() + 1) {
				throw gap(next);
			}
			this.entries.clear();
		}
		int keep = (int) Math.max(0, this.entries.size() - (next - entry.index()));
		this.entries.subList(keep, this.entries.size()).clear();
		this.entries.add(entry);
	}

	private long lastIndex() {
		return this.entries.get(this.entries.size() - 1).index();
	}

	/**
	 * The state after the last record.
	 * @return vote, snapshot and the entries after the snapshot
	 * @throws StorageException if entries after the snapshot are missing
	 */
	RecoveredState finish() throws StorageException {
		return new RecoveredState(this.vote, this.snapshot, entriesAfterSnapshot());
	}

	private List<LogEntry> entriesAfterSnapshot() throws StorageException {
		long covered = this.snapshot.lastIndex();
		if (this.entries.isEmpty() || lastIndex() <= covered) {
			return List.of();
		}
		long first = this.entries.get(0).index();
		if (first > covered + 1) {
			throw gap(covered + 1);
		}
		if (first == covered + 1) {
			return this.entries;
		}
		int position = (int) (covered - first);
		boolean same = this.entries.get(position).term() == this.snapshot.lastTerm();
		return same ? this.entries.subList(position + 1, this.entries.size()) : List.of();
	}

	/**
	 * Whether the records hold entries that the snapshot has made void, so that a reset
	 * must be written before anything else.
	 * @return true when a crash came between a snapshot and its reset
	 * @throws StorageException if entries after the snapshot are missing
	 */
	boolean needsReset() throws StorageException {
		return !this.entries.isEmpty() && entriesAfterSnapshot().isEmpty();
	}

	private static StorageException gap(long index) {
		return new StorageException(StorageException.Reason.DAMAGED, "entry " + index + " is missing");
	}

}
