package org.vanillatrestle.internal.gateway;

/**
 * How fast the targets of a service answer, learned from answers.
 * <p>
 * Not thread safe.
 */
final class ServiceSpeed {

	private static final double NEW_SAMPLE_WEIGHT = 0.05;

	private static final double FIRST_PLAIN_MILLIS = 30;

	private static final double FIRST_TOKENS_PER_MILLI = 40;

	/**
	 * The time of a prompt that is too short to tell anything of the reading speed.
	 */
	private static final double BASE_MILLIS = 30;

	private static final int MIN_TOKENS = 2_000;

	private static final double SLOWEST_TOKENS_PER_MILLI = 5;

	private static final double FASTEST_TOKENS_PER_MILLI = 500;

	private double plainMillis = FIRST_PLAIN_MILLIS;

	private double tokensPerMilli = FIRST_TOKENS_PER_MILLI;

	void plainAnswered(double millis) {
		this.plainMillis += NEW_SAMPLE_WEIGHT * (millis - this.plainMillis);
	}

	void promptRead(long tokens, double millis) {
		if (tokens < MIN_TOKENS) {
			return;
		}
		double rate = tokens / Math.max(1, millis - BASE_MILLIS);
		double bounded = Math.max(SLOWEST_TOKENS_PER_MILLI, Math.min(FASTEST_TOKENS_PER_MILLI, rate));
		this.tokensPerMilli += NEW_SAMPLE_WEIGHT * (bounded - this.tokensPerMilli);
	}

	double plainMillis() {
		return this.plainMillis;
	}

	double readMillis(long tokens) {
		return BASE_MILLIS + tokens / this.tokensPerMilli;
	}

}
