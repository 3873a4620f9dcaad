package org.vanillatrestle.internal.book;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * The latest accepted revisions of one customer, in ascending order.
 * <p>
 * Not thread safe. The number of revisions never exceeds the maximum.
 */
final class RevisionHistory {

	static final RevisionHistory EMPTY = new RevisionHistory(0);

	private final int maxRevisions;

	private final Deque<RevisionRecord> records = new ArrayDeque<>(4);

	RevisionHistory(int maxRevisions) {
		this.maxRevisions = maxRevisions;
	}

	void add(RevisionRecord record) {
		this.records.addLast(record);
		if (this.records.size() > this.maxRevisions) {
			this.records.removeFirst();
		}
	}

	Optional<RevisionRecord> find(long revision) {
		return this.records.stream().filter((record) -> record.revision() == revision).findFirst();
	}

	List<RevisionRecord> records() {
		return new ArrayList<>(this.records);
	}

}
