package org.vanillatrestle.internal.admission;

/**
 * Settings of the queues before the pools.
 * <p>
 * Immutable and thread safe.
 *
 * @param queueLimit greatest number of requests that wait before one pool
 * @param maxWaitPercent greatest expected wait in percent of the time left to the
 * deadline
 * @param maxForwardedWaitNanos greatest expected wait of a request that another VM sent
 */
public record AdmissionSettings(int queueLimit, int maxWaitPercent, long maxForwardedWaitNanos) {

	/**
	 * The defaults.
	 */
	public static final AdmissionSettings DEFAULTS = new AdmissionSettings(512, 50, 250_000_000);

}
