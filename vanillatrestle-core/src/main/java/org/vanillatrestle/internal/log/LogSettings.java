package org.vanillatrestle.internal.log;

import java.time.Duration;

/**
 * Times and sizes of a replicated log. The heartbeat must be well below the election
 * timeout.
 * <p>
 * Immutable and thread safe.
 *
 * @param heartbeatNanos between two heartbeats of a leader
 * @param electionTimeoutNanos the least time without a leader before an election; a
 * leader without a quorum for so long steps down
 * @param batchBytes the most bytes of entries in one message
 * @param windowBytes the most bytes of entries sent to a replica and not yet acknowledged
 * @param chunkBytes the bytes of one part of a snapshot
 * @param compactionBytes the bytes of entries after which a snapshot is due
 * @param compactionEntries the entries after which a snapshot is due
 * @param trailingBytes the bytes of entries before the snapshot kept for slow replicas
 */
public record LogSettings(long heartbeatNanos, long electionTimeoutNanos, int batchBytes, int windowBytes,
		int chunkBytes, int compactionBytes, int compactionEntries, int trailingBytes) {

	private static final int KIB = 1024;

	private static final int MIB = 1024 * KIB;

	public LogSettings {
		if (heartbeatNanos <= 0 || electionTimeoutNanos < 2 * heartbeatNanos) {
			throw new IllegalArgumentException("the election timeout must be at least two heartbeats");
		}
	}

	/**
	 * Settings for a group within or between data centres with a small heap.
	 * @return the defaults
	 */
	public static LogSettings defaults() {
		return new LogSettings(Duration.ofMillis(250).toNanos(), Duration.ofMillis(1500).toNanos(), 256 * KIB, 2 * MIB,
				256 * KIB, 4 * MIB, 20_000, MIB);
	}

}
