package org.vanillatrestle.internal.sendaway;

/**
 * Settings of forwarding requests to other data centres.
 * <p>
 * Immutable and thread safe. The difference between each start threshold and its stop
 * threshold is the hysteresis, which keeps forwarding from switching on and off
 * repeatedly.
 *
 * @param startGainNanos the expected time saving, in nanoseconds, at which forwarding to
 * a remote pool starts
 * @param stopGainNanos the expected time saving, in nanoseconds, below which it stops
 * @param startSavingPercent the expected cost saving, in percent, at which forwarding of
 * requests with the objective {@code COST} starts
 * @param stopSavingPercent the expected cost saving, in percent, below which it stops
 * @param maxRemoteUsePercent the utilisation of a remote pool's slots, in percent, at
 * which requests are no longer forwarded there to save cost
 * @param summaryTtlNanos the time for which a summary is valid, in nanoseconds
 * @param refusalBackoffNanos the time for which a data centre's pool is not used after it
 * refused a request, in nanoseconds
 */
public record ForwardingSettings(long startGainNanos, long stopGainNanos, int startSavingPercent, int stopSavingPercent,
		int maxRemoteUsePercent, long summaryTtlNanos, long refusalBackoffNanos) {

	/**
	 * The default settings.
	 */
	public static final ForwardingSettings DEFAULTS = new ForwardingSettings(30_000_000, 0, 30, 15, 40, 5_000_000_000L,
			1_000_000_000);

}
