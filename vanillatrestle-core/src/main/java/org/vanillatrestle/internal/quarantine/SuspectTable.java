package org.vanillatrestle.internal.quarantine;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.vanillatrestle.ServiceName;

/**
 * The suspect prompt parts known to a VM, merged from what all VMs observe.
 * <p>
 * Invariants: the result does not depend on the order of the reports, nor on repeated
 * ones; there are at most {@link #MAX_PARTS} parts, of which those with the fewest
 * crashes are dropped first. Not thread safe.
 */
public final class SuspectTable {

	/**
	 * Maximum number of parts.
	 */
	static final int MAX_PARTS = 512;

	/**
	 * How long a part is remembered after the last change. A suspended part that is still
	 * asked for changes with each probe.
	 */
	private static final long RETENTION_NANOS = TimeUnit.HOURS.toNanos(1);

	private final Map<PartKey, Row> rows = new HashMap<>();

	/**
	 * Merges what is known of a part.
	 * @param reported the part
	 * @param nowNanos the monotonic time
	 * @return what is known now, empty if nothing changed
	 */
	public Optional<SuspectPart> merge(SuspectPart reported, long nowNanos) {
		long reportedNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(reported.ageMillis());
		Row row = this.rows.get(reported.key());
		if (row == null) {
			if (nowNanos - reportedNanos > RETENTION_NANOS) {
				return Optional.empty();
			}
			makeRoom(nowNanos);
			this.rows.put(reported.key(), new Row(reported, reportedNanos));
			return Optional.of(reported);
		}
		SuspectPart merged = row.part.merge(reported);
		if (merged.isSameKnowledge(row.part)) {
			return Optional.empty();
		}
		boolean isSameSequence = merged.epoch() == row.part.epoch() && merged.crashes() == row.part.crashes();
		this.rows.put(reported.key(), new Row(merged, isSameSequence ? row.changedNanos : reportedNanos));
		return Optional.of(merged);
	}

	private void makeRoom(long nowNanos) {
		if (this.rows.size() < MAX_PARTS) {
			return;
		}
		removeExpired(nowNanos);
		if (this.rows.size() >= MAX_PARTS) {
			this.rows.entrySet()
				.stream()
				.min(Comparator.comparingInt((Map.Entry<PartKey, Row> entry) -> entry.getValue().part.crashes())
					.thenComparingLong((entry) -> entry.getValue().changedNanos - nowNanos))
				.ifPresent((entry) -> this.rows.remove(entry.getKey()));
		}
	}

	private void removeExpired(long nowNanos) {
		this.rows.values().removeIf((row) -> nowNanos - row.changedNanos > RETENTION_NANOS);
	}

	/**
	 * Finds a part.
	 * @param key the part
	 * @param nowNanos the monotonic time
	 * @return what is known of it, with its age, empty if it is not suspect
	 */
	public Optional<SuspectPart> find(PartKey key, long nowNanos) {
		Row row = this.rows.get(key);
		return (row == null || nowNanos - row.changedNanos > RETENTION_NANOS) ? Optional.empty()
				: Optional.of(row.current(nowNanos));
	}

	/**
	 * Returns the parts that changed recently.
	 * @param maxAgeNanos the time within which they changed, in nanoseconds
	 * @param nowNanos the monotonic time
	 * @return the parts with their ages
	 */
	public List<SuspectPart> changedWithin(long maxAgeNanos, long nowNanos) {
		removeExpired(nowNanos);
		return this.rows.values()
			.stream()
			.filter((row) -> nowNanos - row.changedNanos <= maxAgeNanos)
			.map((row) -> row.current(nowNanos))
			.toList();
	}

	/**
	 * Returns all parts.
	 * @param nowNanos the monotonic time
	 * @return the parts with their ages
	 */
	public List<SuspectPart> all(long nowNanos) {
		return changedWithin(RETENTION_NANOS, nowNanos);
	}

	/**
	 * Returns the parts of a service that were there at a number of crashes.
	 * @param service the service
	 * @param minCrashes the least number of crashes, whether in sequence or at once
	 * @param nowNanos the monotonic time
	 * @return the parts, without their ages
	 */
	List<SuspectPart> presentAt(ServiceName service, int minCrashes, long nowNanos) {
		return this.rows.values()
			.stream()
			.filter((row) -> row.part.crashIds().size() >= minCrashes && nowNanos - row.changedNanos <= RETENTION_NANOS)
			.map(Row::part)
			.filter((part) -> part.key().service().equals(service))
			.toList();
	}

	public boolean isEmpty() {
		return this.rows.isEmpty();
	}

	private record Row(SuspectPart part, long changedNanos) {

		SuspectPart current(long nowNanos) {
			return this.part.withAge(Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos - this.changedNanos)));
		}

	}

}
