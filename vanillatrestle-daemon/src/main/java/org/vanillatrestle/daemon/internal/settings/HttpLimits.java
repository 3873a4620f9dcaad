package org.vanillatrestle.daemon.internal.settings;

/**
 * Bounds on what callers may send and how long they may take.
 * <p>
 * Immutable and thread safe.
 *
 * @param maxHeadBytes the longest request head
 * @param maxBodyBytes the longest request body
 * @param maxBodiesBytes the most memory for request bodies of all callers together
 * @param bodyTimeoutMillis the longest time from the first to the last byte of a request
 * @param idleTimeoutMillis how long a connection without a request is kept
 * @param maxConnections the most callers' connections at the same time
 */
public record HttpLimits(int maxHeadBytes, int maxBodyBytes, long maxBodiesBytes, long bodyTimeoutMillis,
		long idleTimeoutMillis, int maxConnections) {

	/**
	 * The limits where settings name none.
	 */
	public static final HttpLimits DEFAULT = new HttpLimits(16 * 1024, 4 * 1024 * 1024, 64L * 1024 * 1024, 10_000,
			60_000, 20_000);

}
