package org.vanillatrestle.internal.fleet;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Records when each declared state became known to a VM, so that the lag of a replica or
 * copy can be measured from the oldest state that it lacks.
 * <p>
 * Invariant: the lag of a VM that receives nothing never decreases, however often the
 * state changes, until it reaches the retention time. Not thread safe.
 */
public final class StateTimeline {

	/**
	 * Lags up to this long are exact. Longer ones are reported as at least this long.
	 */
	private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);

	/**
	 * A longer lag is not explained by the time that a state takes to spread.
	 */
	private static final long BEHIND_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

	private final TreeMap<Long, Long> knownNanosByIndex = new TreeMap<>();

	/**
	 * Records a state, unless it or a newer one is known.
	 * @param index the index of the state
	 * @param nowNanos the monotonic time
	 */
	public void add(long index, long nowNanos) {
		if (index <= latestIndex()) {
			return;
		}
		this.knownNanosByIndex.put(index, nowNanos);
		removeExpired(nowNanos);
	}

	// a VM that lacks a state lacks all later ones, so the latest expired one is enough
	private void removeExpired(long nowNanos) {
		Map.Entry<Long, Long> second = this.knownNanosByIndex.higherEntry(this.knownNanosByIndex.firstKey());
		while (second != null && nowNanos - second.getValue() > RETENTION_NANOS) {
			this.knownNanosByIndex.pollFirstEntry();
			second = this.knownNanosByIndex.higherEntry(second.getKey());
		}
	}

	/**
	 * Returns the index of the latest state.
	 * @return the index, 0 if no state is known
	 */
	public long latestIndex() {
		return this.knownNanosByIndex.isEmpty() ? 0 : this.knownNanosByIndex.lastKey();
	}

	/**
	 * Returns for how long a VM has lacked a state.
	 * @param index the index of the state that the VM has
	 * @param nowNanos the monotonic time
	 * @return the time in nanoseconds since the oldest state that the VM lacks became
	 * known here, 0 if it lacks none
	 */
	public long lagNanos(long index, long nowNanos) {
		Map.Entry<Long, Long> oldestMissing = this.knownNanosByIndex.higherEntry(index);
		return (oldestMissing != null) ? nowNanos - oldestMissing.getValue() : 0;
	}

	/**
	 * Returns whether a VM has lacked a state for longer than a state takes to spread.
	 * @param index the index of the state that the VM has
	 * @param nowNanos the monotonic time
	 * @return whether the VM is behind
	 */
	public boolean isBehind(long index, long nowNanos) {
		return lagNanos(index, nowNanos) > BEHIND_NANOS;
	}

}
