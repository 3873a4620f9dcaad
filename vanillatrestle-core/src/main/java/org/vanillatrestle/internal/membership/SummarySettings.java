package org.vanillatrestle.internal.membership;

import java.util.concurrent.TimeUnit;

/**
 * Times and limits of the exchange between data centres.
 * <p>
 * Immutable and thread safe.
 *
 * @param minIntervalNanos the shortest time between two summaries to a data centre
 * @param perDataCentreNanos what each known data centre adds, so that bytes per second do
 * not grow with their number
 * @param graceNanos what a region may be late beyond three intervals
 * @param forgetAfterNanos the age at which a summary is dropped
 * @param maxDataCentres the most data centres remembered
 */
public record SummarySettings(long minIntervalNanos, long perDataCentreNanos, long graceNanos, long forgetAfterNanos,
		int maxDataCentres) {

	/**
	 * Returns the settings used where a daemon's settings say nothing.
	 * @return the defaults
	 */
	public static SummarySettings defaults() {
		return new SummarySettings(TimeUnit.SECONDS.toNanos(2), TimeUnit.MILLISECONDS.toNanos(300),
				TimeUnit.SECONDS.toNanos(3), TimeUnit.MINUTES.toNanos(10), 256);
	}

	/**
	 * Returns the time between two summaries.
	 * @param dataCentres the number of other data centres
	 * @return the interval in nanoseconds
	 */
	public long intervalNanos(int dataCentres) {
		return Math.max(this.minIntervalNanos, this.perDataCentreNanos * dataCentres);
	}

}
