package org.vanillatrestle.internal.gateway;

import java.util.concurrent.TimeUnit;

/**
 * The prompt tokens that this VM sent to one target of late, by the second.
 * <p>
 * Old tokens fade away exponentially. Not thread safe.
 */
final class ReadingRate {

	/**
	 * About as long as an answer that suffers from the reading of others: a few pauses of
	 * a stream.
	 */
	private static final double FADING_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

	private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

	private double tokens;

	private long countedNanos;

	void sent(long newTokens, long nowNanos) {
		fade(nowNanos);
		this.tokens += newTokens;
	}

	double tokensPerSecond(long nowNanos) {
		fade(nowNanos);
		return this.tokens * NANOS_PER_SECOND / FADING_NANOS;
	}

	private void fade(long nowNanos) {
		this.tokens *= Math.exp(-Math.max(0, nowNanos - this.countedNanos) / FADING_NANOS);
		this.countedNanos = nowNanos;
	}

}
