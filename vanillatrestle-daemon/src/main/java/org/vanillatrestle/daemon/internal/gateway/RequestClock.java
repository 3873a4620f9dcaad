package org.vanillatrestle.daemon.internal.gateway;

import java.util.concurrent.TimeUnit;

/**
 * The time that a request has taken and may take.
 * <p>
 * Immutable and thread safe.
 *
 * @param arrivedNanos the arrival of the request, on the monotonic clock
 * @param timeoutMillis the time from then within which it has to be answered
 */
record RequestClock(long arrivedNanos, long timeoutMillis) {

	long elapsedNanos() {
		return System.nanoTime() - this.arrivedNanos;
	}

	long elapsedMillis() {
		return TimeUnit.NANOSECONDS.toMillis(elapsedNanos());
	}

	long remainingMillis() {
		return this.timeoutMillis - elapsedMillis();
	}

}
