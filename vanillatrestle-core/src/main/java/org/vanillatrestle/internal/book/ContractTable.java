package org.vanillatrestle.internal.book;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

import org.vanillatrestle.CustomerId;

/**
 * The latest entry of each customer, in ascending order of index.
 * <p>
 * Not thread safe. Each customer has at most one entry, and the index of that entry never
 * decreases.
 */
final class ContractTable {

	private final Map<CustomerId, BookEntry> byCustomer = new HashMap<>();

	private final NavigableMap<Long, BookEntry> byIndex = new TreeMap<>();

	boolean put(BookEntry entry) {
		BookEntry previous = this.byCustomer.get(entry.customer());
		if (previous != null && previous.index() >= entry.index()) {
			return false;
		}
		this.byCustomer.put(entry.customer(), entry);
		if (previous != null) {
			this.byIndex.remove(previous.index());
		}
		this.byIndex.put(entry.index(), entry);
		return true;
	}

	void clear() {
		this.byCustomer.clear();
		this.byIndex.clear();
	}

	Optional<BookEntry> get(CustomerId customer) {
		return Optional.ofNullable(this.byCustomer.get(customer));
	}

	int size() {
		return this.byCustomer.size();
	}

	Collection<BookEntry> entries() {
		return this.byIndex.values();
	}

	BookPage pageAfter(long index, int maxBytes, long sourceIndex) {
		List<BookEntry> entries = new ArrayList<>();
		long sizeBytes = 0;
		for (BookEntry entry : this.byIndex.tailMap(index, false).values()) {
			sizeBytes += entry.sizeBytes();
			if (sizeBytes > maxBytes && !entries.isEmpty()) {
				return new BookPage(index, entries, sourceIndex, false);
			}
			entries.add(entry);
		}
		return new BookPage(index, entries, sourceIndex, true);
	}

}
