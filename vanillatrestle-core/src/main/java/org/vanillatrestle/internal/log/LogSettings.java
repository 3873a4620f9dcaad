package org.vanillatrestle.internal.log;

import java.time.Duration;

/**
 * Timeouts and size limits of a replicated log. The heartbeat interval must be well below
 * the election timeout.
 * <p>
 * Immutable and thread safe.
 *
 * @param heartbeatIntervalNanos the time in nanoseconds between two heartbeats of a
 * leader
 * @param electionTimeoutNanos the minimum time in nanoseconds without contact with a
 * leader before an election, except for the first one after a start, which may come
 * sooner; a leader that has had no contact with a quorum for this long steps down
 * @param batchBytes the maximum size in bytes of the entries in one message, unless a
 * single entry is larger
 * @param windowBytes the size in bytes of unacknowledged entries at which the leader
 * stops sending further batches to a replica
 * @param chunkBytes the maximum size in bytes of one chunk of a snapshot
 * @param compactionBytes the size in bytes, on top of trailingBytes, of the entries in
 * memory at which compaction is due
 * @param compactionEntries the number of entries applied since the snapshot at which
 * compaction is due
 * @param trailingBytes the maximum size in bytes of the entries covered by the snapshot
 * that are kept for slow replicas
 */
public record LogSettings(long heartbeatIntervalNanos, long electionTimeoutNanos, int batchBytes, int windowBytes,
		int chunkBytes, int compactionBytes, int compactionEntries, int trailingBytes) {

	private static final int KIB = 1024;

	private static final int MIB = 1024 * KIB;

	public LogSettings {
		if (heartbeatIntervalNanos <= 0 || electionTimeoutNanos < 2 * heartbeatIntervalNanos) {
			throw new IllegalArgumentException("the election timeout must be at least twice the heartbeat interval");
		}
	}

	/**
	 * Default settings for a group within one data centre or across several, on VMs with
	 * a small heap.
	 * @return the default settings
	 */
	public static LogSettings defaults() {
		return new LogSettings(Duration.ofMillis(250).toNanos(), Duration.ofMillis(1500).toNanos(), 256 * KIB, 2 * MIB,
				256 * KIB, 4 * MIB, 20_000, MIB);
	}

}
