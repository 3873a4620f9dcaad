package org.vanillatrestle.internal.admission;

/**
 * Settings of the request queues of the target pools.
 * <p>
 * Immutable and thread safe.
 *
 * @param queueLimit the maximum number of requests queued for one pool
 * @param maxWaitPercent the maximum expected queueing time as a percentage of the time
 * left until the request's deadline
 * @param maxForwardedWaitNanos the maximum expected queueing time, in nanoseconds, of a
 * request that another VM forwarded
 */
public record AdmissionSettings(int queueLimit, int maxWaitPercent, long maxForwardedWaitNanos) {

	/**
	 * The default settings.
	 */
	public static final AdmissionSettings DEFAULTS = new AdmissionSettings(512, 50, 250_000_000);

}
