package org.vanillatrestle.internal.gateway;

/**
 * The average speed at which the targets of a service answer, measured from their
 * answers.
 * <p>
 * Not thread safe.
 */
final class ServiceSpeed {

	private static final double NEW_SAMPLE_WEIGHT = 0.05;

	private static final double INITIAL_PLAIN_MILLIS = 30;

	private static final double INITIAL_TOKENS_PER_MILLI = 40;

	/**
	 * The part of the time until an answer begins that does not depend on the length of
	 * the prompt.
	 */
	private static final double BASE_MILLIS = 30;

	private static final int MIN_SAMPLE_TOKENS = 2_000;

	private static final double MAX_QUEUED_FRACTION = 0.25;

	private static final double SLOWEST_TOKENS_PER_MILLI = 5;

	private static final double FASTEST_TOKENS_PER_MILLI = 500;

	private static final double MILLIS_PER_SECOND = 1_000;

	private final AnswerPace answerPace = new AnswerPace();

	private double plainMillis = INITIAL_PLAIN_MILLIS;

	private double tokensPerMilli = INITIAL_TOKENS_PER_MILLI;

	void recordPlainAnswer(double millis) {
		this.plainMillis += NEW_SAMPLE_WEIGHT * (millis - this.plainMillis);
	}

	/**
	 * Records that a target has read a prompt. A prompt that was queued behind many other
	 * tokens is ignored: more urgent prompts are read first, so its time says nothing
	 * about the reading speed.
	 * @param tokens the tokens read
	 * @param queuedTokens the tokens of other prompts that were waiting when it was sent
	 * @param millis the time in milliseconds until the answer began
	 * @param targetSpeed the speed of the target, which is updated too
	 */
	void recordPromptRead(long tokens, long queuedTokens, double millis, TargetSpeed targetSpeed) {
		if (tokens < MIN_SAMPLE_TOKENS || queuedTokens > MAX_QUEUED_FRACTION * tokens) {
			return;
		}
		double rate = tokens / Math.max(1, millis - BASE_MILLIS);
		double clampedRate = Math.max(SLOWEST_TOKENS_PER_MILLI, Math.min(FASTEST_TOKENS_PER_MILLI, rate));
		targetSpeed.recordPromptRead(clampedRate / this.tokensPerMilli);
		this.tokensPerMilli += NEW_SAMPLE_WEIGHT * (clampedRate - this.tokensPerMilli);
	}

	double tokensPerSecond(TargetSpeed targetSpeed) {
		return MILLIS_PER_SECOND * this.tokensPerMilli * targetSpeed.readingFactor();
	}

	AnswerPace answerPace() {
		return this.answerPace;
	}

	double plainMillis() {
		return this.plainMillis;
	}

	double readMillis(long tokens) {
		return BASE_MILLIS + tokens / this.tokensPerMilli;
	}

	double readMillis(long tokens, TargetSpeed targetSpeed) {
		return BASE_MILLIS + tokens / (this.tokensPerMilli * targetSpeed.readingFactor());
	}

}
