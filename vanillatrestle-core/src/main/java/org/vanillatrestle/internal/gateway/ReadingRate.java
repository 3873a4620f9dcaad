package org.vanillatrestle.internal.gateway;

import java.util.concurrent.TimeUnit;

import org.vanillatrestle.internal.fleet.InFlightLoad;

/**
 * The recent rate of prompt tokens that this VM sent to one target, in tokens per second.
 * <p>
 * Computed as an exponentially decaying sum. Not thread safe.
 */
final class ReadingRate {

	private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

	private double tokens;

	private long updatedNanos;

	void recordSent(long newTokens, long nowNanos) {
		decay(nowNanos);
		this.tokens += newTokens;
	}

	double tokensPerSecond(long nowNanos) {
		decay(nowNanos);
		return this.tokens * NANOS_PER_SECOND / InFlightLoad.PROMPT_RATE_DECAY_NANOS;
	}

	private void decay(long nowNanos) {
		this.tokens *= InFlightLoad.remainingFraction(nowNanos - this.updatedNanos);
		this.updatedNanos = nowNanos;
	}

}
