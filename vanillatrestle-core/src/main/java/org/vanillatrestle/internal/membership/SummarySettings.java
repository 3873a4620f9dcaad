package org.vanillatrestle.internal.membership;

import java.util.concurrent.TimeUnit;

/**
 * Timeouts and limits of the summary exchange between data centres.
 * <p>
 * Immutable and thread safe.
 *
 * @param minIntervalNanos the minimum time between two summaries to a data centre, in
 * nanoseconds
 * @param intervalPerDataCentreNanos the minimum interval for each known data centre, in
 * nanoseconds; it is multiplied by their number, so that the bytes per second do not grow
 * with the number of data centres
 * @param graceNanos the time added to three intervals, in nanoseconds; a region from
 * which no summary arrives directly within the sum is unreachable
 * @param forgetAfterNanos the age after which a summary is discarded, in nanoseconds
 * @param maxDataCentres the maximum number of other data centres remembered
 */
public record SummarySettings(long minIntervalNanos, long intervalPerDataCentreNanos, long graceNanos,
		long forgetAfterNanos, int maxDataCentres) {

	/**
	 * Returns the values used unless a daemon's settings override them.
	 * @return the defaults
	 */
	public static SummarySettings defaults() {
		return new SummarySettings(TimeUnit.SECONDS.toNanos(2), TimeUnit.MILLISECONDS.toNanos(300),
				TimeUnit.SECONDS.toNanos(3), TimeUnit.MINUTES.toNanos(10), 256);
	}

	/**
	 * Returns the time between two summaries to a data centre.
	 * @param dataCentres the number of other data centres
	 * @return the interval in nanoseconds
	 */
	public long intervalNanos(int dataCentres) {
		return Math.max(this.minIntervalNanos, this.intervalPerDataCentreNanos * dataCentres);
	}

}
