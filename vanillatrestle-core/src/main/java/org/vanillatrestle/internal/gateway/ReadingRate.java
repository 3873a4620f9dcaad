package org.vanillatrestle.internal.gateway;

import java.util.concurrent.TimeUnit;

import org.vanillatrestle.internal.fleet.FlightLoad;

/**
 * The prompt tokens that this VM sent to one target of late, by the second.
 * <p>
 * Old tokens fade away exponentially. Not thread safe.
 */
final class ReadingRate {

	private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

	private double tokens;

	private long countedNanos;

	void sent(long newTokens, long nowNanos) {
		fade(nowNanos);
		this.tokens += newTokens;
	}

	double tokensPerSecond(long nowNanos) {
		fade(nowNanos);
		return this.tokens * NANOS_PER_SECOND / FlightLoad.READING_FADES_NANOS;
	}

	private void fade(long nowNanos) {
		this.tokens *= FlightLoad.remainingPart(nowNanos - this.countedNanos);
		this.countedNanos = nowNanos;
	}

}
