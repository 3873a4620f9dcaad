package org.vanillatrestle.internal.book;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;

/**
 * Audit records of one kind, ascending by index.
 * <p>
 * Not thread safe. Never more records than the bound. A new record expires at most two
 * older ones by age, so that a wall clock which jumps far ahead can't empty the trail.
 */
final class AuditTrail {

	private static final int MAX_EXPIRED_PER_RECORD = 2;

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
		expire(record.atMillis());
	}

	private void expire(long nowMillis) {
		for (int i = 0; i < MAX_EXPIRED_PER_RECORD; i++) {
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
