package org.vanillatrestle.internal.book;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;

/**
 * The audit records of one kind, in ascending order of index.
 * <p>
 * Not thread safe. The number of records never exceeds the maximum. Each new record
 * removes at most two records that have passed the retention period, so that a wall clock
 * that jumps far ahead cannot empty the trail.
 */
final class AuditTrail {

	private static final int MAX_EXPIRATIONS_PER_NEW_RECORD = 2;

	private final int maxRecords;

	private final long retentionMillis;

	private final Deque<AuditRecord> records = new ArrayDeque<>();

	AuditTrail(int maxRecords, long retentionMillis) {
		this.maxRecords = maxRecords;
		this.retentionMillis = retentionMillis;
	}

	void add(AuditRecord record) {
		this.records.addLast(record);
		if (this.records.size() > this.maxRecords) {
			this.records.removeFirst();
		}
		removeExpired(record.atMillis());
	}

	private void removeExpired(long nowMillis) {
		for (int i = 0; i < MAX_EXPIRATIONS_PER_NEW_RECORD; i++) {
			if (nowMillis - this.records.getFirst().atMillis() <= this.retentionMillis) {
				return;
			}
			this.records.removeFirst();
		}
	}

	void restore(Collection<AuditRecord> restored) {
		this.records.clear();
		this.records.addAll(restored);
	}

	List<AuditRecord> records() {
		return new ArrayList<>(this.records);
	}

}
