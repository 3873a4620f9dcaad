package org.vanillatrestle.internal.gateway;

import java.util.concurrent.TimeUnit;

/**
 * How one target compares with the others of its service, learned from its answers.
 * <p>
 * Not thread safe.
 */
final class TargetPace {

	private static final double NEW_SAMPLE_WEIGHT = 0.08;

	private static final double SLOWEST = 0.25;

	private static final double FASTEST = 4;

	/**
	 * How long a pause counts: how slowly a target reads is its nature, but a target may
	 * also be slow for a while.
	 */
	private static final long PAUSE_MEMORY_NANOS = TimeUnit.SECONDS.toNanos(15);

	private double readingFactor = 1;

	private long pauseMillis;

	private long pausedNanos;

	/**
	 * Takes the reading of a prompt.
	 * @param factor the reading speed as a multiple of the service's
	 */
	void promptRead(double factor) {
		double bounded = Math.max(SLOWEST, Math.min(FASTEST, factor));
		this.readingFactor += NEW_SAMPLE_WEIGHT * (bounded - this.readingFactor);
	}

	/**
	 * Returns the reading speed.
	 * @return a multiple of the service's
	 */
	double readingFactor() {
		return this.readingFactor;
	}

	/**
	 * Takes a pause between two events of a stream.
	 * @param millis the pause
	 * @param nowNanos the monotonic time
	 */
	void paused(long millis, long nowNanos) {
		if (millis >= longestPauseMillis(nowNanos)) {
			this.pauseMillis = millis;
			this.pausedNanos = nowNanos;
		}
	}

	/**
	 * Returns the longest pause of late.
	 * @param nowNanos the monotonic time
	 * @return the pause, 0 if there was none
	 */
	long longestPauseMillis(long nowNanos) {
		return (nowNanos - this.pausedNanos > PAUSE_MEMORY_NANOS) ? 0 : this.pauseMillis;
	}

}
