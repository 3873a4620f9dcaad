package org.vanillatrestle.internal.log;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The memberships by the log index at which each took effect. A membership is in effect
 * as soon as its entry is in the log, even before it is committed, and stops being in
 * effect when that entry is truncated.
 * <p>
 * Not thread safe.
 */
final class MembershipHistory {

	private final TreeMap<Long, Membership> byIndex = new TreeMap<>();

	MembershipHistory(Snapshot snapshot, List<LogEntry> entries) {
		this.byIndex.put(snapshot.lastIndex(), snapshot.membership());
		append(entries);
	}

	Membership current() {
		return this.byIndex.lastEntry().getValue();
	}

	long currentIndex() {
		return this.byIndex.lastKey();
	}

	Membership at(long index) {
		Map.Entry<Long, Membership> entry = this.byIndex.floorEntry(index);
		return ((entry != null) ? entry : this.byIndex.firstEntry()).getValue();
	}

	void append(List<LogEntry> entries) {
		if (entries.isEmpty()) {
			return;
		}
		this.byIndex.tailMap(entries.get(0).index(), true).clear();
		for (LogEntry entry : entries) {
			if (entry.body() instanceof EntryBody.MembershipChange change) {
				this.byIndex.put(entry.index(), change.membership());
			}
		}
	}

	void compact(long index) {
		Long first = this.byIndex.floorKey(index);
		if (first != null) {
			this.byIndex.headMap(first, false).clear();
		}
	}

	void reset(long index, Membership membership) {
		this.byIndex.clear();
		this.byIndex.put(index, membership);
	}

}
