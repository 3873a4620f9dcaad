package org.vanillatrestle.internal.log;

import java.util.ArrayList;
import java.util.List;

/**
 * The log entries held in memory: all entries after the snapshot and, for replicas that
 * are slightly behind, the last entries that the snapshot covers, up to a limit on their
 * total size.
 * <p>
 * Indexes are consecutive. The base index and base term are those of the entry before the
 * first one in memory. Not thread safe.
 */
final class EntryLog {

	private final ArrayList<LogEntry> entries = new ArrayList<>();

	private long baseIndex;

	private long baseTerm;

	private long bytes;

	EntryLog(Snapshot snapshot, List<LogEntry> recovered) {
		this.baseIndex = snapshot.lastIndex();
		this.baseTerm = snapshot.lastTerm();
		for (LogEntry entry : recovered) {
			if (entry.index() != lastIndex() + 1) {
				throw new IllegalArgumentException("entry " + entry.index() + " does not follow entry " + lastIndex());
			}
			add(entry);
		}
	}

	long baseIndex() {
		return this.baseIndex;
	}

	long lastIndex() {
		return this.baseIndex + this.entries.size();
	}

	long lastTerm() {
		return termAt(lastIndex());
	}

	boolean knowsTermAt(long index) {
		return index >= this.baseIndex && index <= lastIndex();
	}

	long termAt(long index) {
		return (index == this.baseIndex) ? this.baseTerm : get(index).term();
	}

	LogEntry get(long index) {
		return this.entries.get(position(index));
	}

	long bytes() {
		return this.bytes;
	}

	/**
	 * Returns consecutive entries that start at an index and fit into a size limit. The
	 * first entry is returned even if it alone exceeds the limit.
	 * @param fromIndex the index of the first entry
	 * @param limitBytes the maximum total size of the entries in bytes, unless a single
	 * entry is larger
	 * @return the entries, empty if the index is after the last entry
	 */
	List<LogEntry> slice(long fromIndex, int limitBytes) {
		int first = position(fromIndex);
		int end = first;
		long size = 0;
		while (end < this.entries.size()) {
			size += this.entries.get(end).sizeBytes();
			if (size > limitBytes && end > first) {
				break;
			}
			end++;
		}
		return List.copyOf(this.entries.subList(first, end));
	}

	void append(List<LogEntry> appended) {
		truncateFrom(appended.get(0).index());
		appended.forEach(this::add);
	}

	long firstIndexOfTermAt(long index) {
		long term = termAt(index);
		long first = index;
		while (first - 1 > this.baseIndex && termAt(first - 1) == term) {
			first--;
		}
		return first;
	}

	/**
	 * Removes entries covered by the snapshot, except the last ones that fit into a size
	 * limit.
	 * @param snapshotIndex the last index covered by the snapshot
	 * @param trailingBytes the maximum total size in bytes of the covered entries that
	 * are kept
	 */
	void compact(long snapshotIndex, int trailingBytes) {
		long newBase = snapshotIndex;
		long kept = 0;
		while (newBase > this.baseIndex) {
			kept += get(newBase).sizeBytes();
			if (kept > trailingBytes) {
				break;
			}
			newBase--;
		}
		removeUpTo(newBase);
	}

	void reset(long index, long term) {
		this.entries.clear();
		this.bytes = 0;
		this.baseIndex = index;
		this.baseTerm = term;
	}

	private void removeUpTo(long newBase) {
		if (newBase <= this.baseIndex) {
			return;
		}
		long newTerm = termAt(newBase);
		List<LogEntry> dropped = this.entries.subList(0, position(newBase) + 1);
		dropped.forEach((entry) -> this.bytes -= entry.sizeBytes());
		dropped.clear();
		this.baseIndex = newBase;
		this.baseTerm = newTerm;
	}

	private void truncateFrom(long index) {
		while (lastIndex() >= index) {
			LogEntry removed = this.entries.remove(this.entries.size() - 1);
			this.bytes -= removed.sizeBytes();
		}
	}

	private void add(LogEntry entry) {
		this.entries.add(entry);
		this.bytes += entry.sizeBytes();
	}

	private int position(long index) {
		return Math.toIntExact(index - this.baseIndex - 1);
	}

}
