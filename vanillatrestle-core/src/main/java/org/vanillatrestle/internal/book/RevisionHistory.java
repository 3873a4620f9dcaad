package org.vanillatrestle.internal.book;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * The latest accepted revisions of one customer, ascending.
 * <p>
 * Not thread safe. Never more revisions than the bound.
 */
final class RevisionHistory {

	static final RevisionHistory EMPTY = new RevisionHistory(0);

	private final int maxRecords;

	private final Deque<RevisionRecord> records = new ArrayDeque<>(4);

	RevisionHistory(int maxRecords) {
		this.maxRecords = maxRecords;
	}

	void add(RevisionRecord record) {
		this.records.addLast(record);
		if (this.records.size() > this.maxRecords) {
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
