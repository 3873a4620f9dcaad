package org.vanillatrestle.internal.log;

import java.util.ArrayList;
import java.util.List;

/**
 * A disk in memory that holds back writes until they are synced.
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
	 * Executes the first unsynced writes and discards the others, as after a crash.
	 * @param kept the number of unsynced writes that survive
	 */
	void keepFirst(int kept) {
		this.unsynced.subList(0, Math.min(kept, this.unsynced.size())).forEach(this::execute);
		this.unsynced.clear();
	}

	int unsyncedCount() {
		return this.unsynced.size();
	}

	RecoveredState recover() {
		return new RecoveredState(this.vote, this.snapshot, this.entries);
	}

	private void execute(DiskWrite write) {
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
