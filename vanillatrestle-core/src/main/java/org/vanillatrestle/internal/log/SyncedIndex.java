package org.vanillatrestle.internal.log;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The last index of the log that is on disk, worked out from the completed writes.
 * <p>
 * Never beyond an index that was cut off after it was written. Not thread safe.
 */
final class SyncedIndex {

	private final Deque<Pending> pending = new ArrayDeque<>();

	private long index;

	SyncedIndex(long recoveredIndex) {
		this.index = recoveredIndex;
	}

	long index() {
		return this.index;
	}

	void written(long writeNumber, long firstIndex, long lastIndex) {
		truncate(firstIndex - 1);
		this.pending.addLast(new Pending(writeNumber, lastIndex));
	}

	void reset(long writeNumber, long lastIndex) {
		this.pending.clear();
		this.index = 0;
		this.pending.addLast(new Pending(writeNumber, lastIndex));
	}

	void synced(long writeNumber) {
		while (!this.pending.isEmpty() && this.pending.peekFirst().writeNumber() <= writeNumber) {
			this.index = this.pending.removeFirst().lastIndex();
		}
	}

	private void truncate(long lastKept) {
		this.index = Math.min(this.index, lastKept);
		int count = this.pending.size();
		for (int i = 0; i < count; i++) {
			Pending write = this.pending.removeFirst();
			this.pending.addLast(new Pending(write.writeNumber(), Math.min(write.lastIndex(), lastKept)));
		}
	}

	/**
	 * A write that is not completed yet.
	 */
	private record Pending(long writeNumber, long lastIndex) {
	}

}
