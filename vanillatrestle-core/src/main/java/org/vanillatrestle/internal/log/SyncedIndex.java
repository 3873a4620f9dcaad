package org.vanillatrestle.internal.log;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Tracks the last log index that is on disk, based on the completed writes.
 * <p>
 * When written entries are truncated, the index drops to the last entry that was kept.
 * Not thread safe.
 */
final class SyncedIndex {

	private final Deque<PendingWrite> pending = new ArrayDeque<>();

	private long index;

	SyncedIndex(long recoveredIndex) {
		this.index = recoveredIndex;
	}

	long index() {
		return this.index;
	}

	void recordWrite(long writeNumber, long firstIndex, long lastIndex) {
		truncate(firstIndex - 1);
		this.pending.addLast(new PendingWrite(writeNumber, lastIndex));
	}

	void reset(long writeNumber, long lastIndex) {
		this.pending.clear();
		this.index = 0;
		this.pending.addLast(new PendingWrite(writeNumber, lastIndex));
	}

	void markSynced(long writeNumber) {
		while (!this.pending.isEmpty() && this.pending.peekFirst().writeNumber() <= writeNumber) {
			this.index = this.pending.removeFirst().lastIndex();
		}
	}

	private void truncate(long lastKept) {
		this.index = Math.min(this.index, lastKept);
		int count = this.pending.size();
		for (int i = 0; i < count; i++) {
			PendingWrite write = this.pending.removeFirst();
			this.pending.addLast(new PendingWrite(write.writeNumber(), Math.min(write.lastIndex(), lastKept)));
		}
	}

	/**
	 * A write that is not synced yet.
	 */
	private record PendingWrite(long writeNumber, long lastIndex) {
	}

}
