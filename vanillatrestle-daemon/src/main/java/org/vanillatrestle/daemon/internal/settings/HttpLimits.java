package org.vanillatrestle.daemon.internal.settings;

/**
 * Limits on the size, duration and number of callers' requests and connections.
 * <p>
 * Immutable and thread safe.
 *
 * @param maxHeadBytes the maximum size of a request head, in bytes
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param maxBodiesBytes the maximum memory for the request bodies of all callers, in
 * bytes
 * @param bodyTimeoutMillis the maximum time to receive a request, from its head to its
 * last byte, in milliseconds
 * @param idleTimeoutMillis the time after which a connection without a request is closed,
 * in milliseconds
 * @param maxConnections the maximum number of concurrent connections
 */
public record HttpLimits(int maxHeadBytes, int maxBodyBytes, long maxBodiesBytes, long bodyTimeoutMillis,
		long idleTimeoutMillis, int maxConnections) {

	/**
	 * The limits that apply if the settings specify none.
	 */
	public static final HttpLimits DEFAULT = new HttpLimits(16 * 1024, 4 * 1024 * 1024, 64L * 1024 * 1024, 10_000,
			60_000, 20_000);

}
