package org.vanillatrestle.internal.once;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;

import org.vanillatrestle.OnceKey;

/**
 * Stores the ledger's records by generation and keeps track of their number and the total
 * size of their answers.
 * <p>
 * Not thread safe. Records of opaque keys, which were not issued by this data centre, are
 * stored under the number {@link #OPAQUE_GENERATION}, in the order of their last change.
 */
final class RecordStore {

	private static final long OPAQUE_GENERATION = 0;

	private final IssuedKeys issuedKeys;

	private final Map<Long, Map<OnceKey, OnceRecord>> generations = new TreeMap<>();

	private final Set<OnceKey> inProgress = new LinkedHashSet<>();

	private int size;

	private long answersBytes;

	RecordStore(IssuedKeys issuedKeys) {
		this.issuedKeys = issuedKeys;
	}

	OptionalLong generation(OnceKey key) {
		return this.issuedKeys.generation(key.key());
	}

	Optional<OnceRecord> get(OnceKey key) {
		return Optional.ofNullable(records(key).get(key));
	}

	void put(OnceRecord record) {
		Map<OnceKey, OnceRecord> records = this.generations.computeIfAbsent(generationOrOpaque(record.key()),
				(number) -> new LinkedHashMap<>());
		OnceRecord previous = records.get(record.key());
		if (previous != null) {
			subtract(previous);
			if (previous.changedAtMillis() != record.changedAtMillis()) {
				records.remove(record.key());
			}
		}
		records.put(record.key(), record);
		add(record);
	}

	private void add(OnceRecord record) {
		this.size++;
		this.answersBytes += sizeBytes(record);
		if (record.state() == OnceState.IN_PROGRESS) {
			this.inProgress.add(record.key());
		}
	}

	private void subtract(OnceRecord record) {
		this.size--;
		this.answersBytes -= sizeBytes(record);
		this.inProgress.remove(record.key());
	}

	private static long sizeBytes(OnceRecord record) {
		return record.answer().map(StoredAnswer::sizeBytes).orElse(0);
	}

	Collection<OnceRecord> removeGeneration(long number) {
		Map<OnceKey, OnceRecord> removed = this.generations.remove(number);
		if (removed == null) {
			return List.of();
		}
		removed.values().forEach(this::subtract);
		return removed.values();
	}

	boolean removeExpiredOpaque(long changedBeforeMillis) {
		List<OnceRecord> expired = new ArrayList<>();
		for (OnceRecord record : this.generations.getOrDefault(OPAQUE_GENERATION, Map.of()).values()) {
			if (record.changedAtMillis() >= changedBeforeMillis) {
				break;
			}
			if (record.state() != OnceState.IN_PROGRESS) {
				expired.add(record);
			}
		}
		expired.forEach(this::remove);
		return !expired.isEmpty();
	}

	private void remove(OnceRecord record) {
		records(record.key()).remove(record.key());
		subtract(record);
	}

	void clear() {
		this.generations.clear();
		this.inProgress.clear();
		this.size = 0;
		this.answersBytes = 0;
	}

	int size() {
		return this.size;
	}

	long answersBytes() {
		return this.answersBytes;
	}

	List<OnceRecord> inProgress() {
		List<OnceRecord> records = new ArrayList<>();
		this.inProgress.forEach((key) -> records.add(records(key).get(key)));
		return records;
	}

	List<OnceRecord> all() {
		List<OnceRecord> records = new ArrayList<>(this.size);
		this.generations.values().forEach((generation) -> records.addAll(generation.values()));
		return records;
	}

	private Map<OnceKey, OnceRecord> records(OnceKey key) {
		return this.generations.getOrDefault(generationOrOpaque(key), Map.of());
	}

	private long generationOrOpaque(OnceKey key) {
		return generation(key).orElse(OPAQUE_GENERATION);
	}

}
