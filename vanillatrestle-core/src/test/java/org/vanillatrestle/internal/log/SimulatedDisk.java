package org.vanillatrestle.internal.log;

import java.util.ArrayList;
import java.util.List;

/**
 * A disk that keeps writes apart until they are synced.
 */
final class SimulatedDisk {

	private final List<DiskWrite> unsynced = new ArrayList<>();

	private final List<LogEntry> entries = new ArrayList<>();

	private Vote vote = Vote.INITIAL;

	private Snapshot snapshot;

	SimulatedDisk(Membership membership) {
		this.snapshot = Snapshot.initial(membership);
	}

	void write(DiskWrite write) {
		this.unsynced.add(write);
	}

	boolean isSynced() {
		return this.unsynced.isEmpty();
	}

	void sync() {
		keepFirst(this.unsynced.size());
	}

	/**
	 * Crashes the disk.
	 * @param kept how many of the unsynced writes survive
	 */
	void keepFirst(int kept) {
		this.unsynced.subList(0, Math.min(kept, this.unsynced.size())).forEach(this::carryOut);
		this.unsynced.clear();
	}

	int unsyncedCount() {
		return this.unsynced.size();
	}

	RecoveredState recover() {
		return new RecoveredState(this.vote, this.snapshot, this.entries);
	}

	private void carryOut(DiskWrite write) {
		if (write instanceof DiskWrite.SaveVote save) {
			this.vote = save.vote();
		}
		else if (write instanceof DiskWrite.AppendEntries append) {
			long first = append.entries().get(0).index();
			this.entries.removeIf((entry) -> entry.index() >= first);
			this.entries.addAll(append.entries());
		}
		else if (write instanceof DiskWrite.SaveSnapshot save) {
			this.snapshot = save.snapshot();
			long last = save.snapshot().lastIndex();
			this.entries.removeIf((entry) -> save.discardLog() || entry.index() <= last);
		}
	}

}
