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

	private static final double MAX_QUEUED_PART = 0.25;

	private static final double SLOWEST_TOKENS_PER_MILLI = 5;

	private static final double FASTEST_TOKENS_PER_MILLI = 500;

	private static final double MILLIS_PER_SECOND = 1_000;

	private double plainMillis = FIRST_PLAIN_MILLIS;

	private double tokensPerMilli = FIRST_TOKENS_PER_MILLI;

	void plainAnswered(double millis) {
		this.plainMillis += NEW_SAMPLE_WEIGHT * (millis - this.plainMillis);
	}

	/**
	 * Takes the reading of a prompt by a target. A prompt behind others tells nothing,
	 * since what is more urgent overtakes.
	 * @param tokens the tokens read
	 * @param queuedTokens the tokens of other prompts that waited when it was sent
	 * @param millis how long it took
	 * @param pace learns how the target compares with the others
	 */
	void promptRead(long tokens, long queuedTokens, double millis, TargetPace pace) {
		if (tokens < MIN_TOKENS || queuedTokens > MAX_QUEUED_PART * tokens) {
			return;
		}
		double rate = tokens / Math.max(1, millis - BASE_MILLIS);
		double bounded = Math.max(SLOWEST_TOKENS_PER_MILLI, Math.min(FASTEST_TOKENS_PER_MILLI, rate));
		pace.promptRead(bounded / this.tokensPerMilli);
		this.tokensPerMilli += NEW_SAMPLE_WEIGHT * (bounded - this.tokensPerMilli);
	}

	double tokensPerSecond(TargetPace pace) {
		return MILLIS_PER_SECOND * this.tokensPerMilli * pace.readingFactor();
	}

	double plainMillis() {
		return this.plainMillis;
	}

	double readMillis(long tokens) {
		return BASE_MILLIS + tokens / this.tokensPerMilli;
	}

	double readMillis(long tokens, TargetPace pace) {
		return BASE_MILLIS + tokens / (this.tokensPerMilli * pace.readingFactor());
	}

}
