package org.vanillatrestle.internal.gateway;

import java.util.concurrent.TimeUnit;

/**
 * The average speed at which the targets of a service answer, measured from their
 * answers.
 * <p>
 * A reading speed below the initial one expires unless further prompts confirm it, so
 * that it never keeps prompts away for good. Not thread safe.
 */
final class ServiceSpeed {

	private static final double NEW_SAMPLE_WEIGHT = 0.05;

	private static final double INITIAL_PLAIN_MILLIS = 30;

	private static final double INITIAL_TOKENS_PER_MILLI = 40;

	/**
	 * The time after which a measured speed that is below the initial one expires, as
	 * long as the memory of a target's stream pauses.
	 */
	static final long SLOW_READING_NANOS = TimeUnit.SECONDS.toNanos(15);

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

	private long measuredNanos;

	/**
	 * Records an answer of a plain service.
	 * @param millis the time in milliseconds from the request to its answer
	 * @param targetSpeed the speed of the target, which is updated too
	 * @param nowNanos the monotonic time
	 */
	void recordPlainAnswer(double millis, TargetSpeed targetSpeed, long nowNanos) {
		this.plainMillis += NEW_SAMPLE_WEIGHT * (millis - this.plainMillis);
		targetSpeed.answerTime().recordAnswer(millis, nowNanos);
	}

	/**
	 * Returns the expected time from a request to its answer at a target of a plain
	 * service.
	 * @param target the target
	 * @param nowNanos the monotonic time
	 * @return the time in milliseconds. A target of unknown speed counts as no slower
	 * than the average, so that it is tried beside faster ones, and no slower than a
	 * service that has not answered yet
	 */
	double plainMillis(GatewayTarget target, long nowNanos) {
		boolean idle = target.own().requests() == 0;
		return target.speed().answerTime().millis(Math.min(INITIAL_PLAIN_MILLIS, this.plainMillis), idle, nowNanos);
	}

	/**
	 * Records that a target has read a prompt. A prompt that was queued behind many other
	 * tokens is ignored: more urgent prompts are read first, so its time says nothing
	 * about the reading speed.
	 * @param tokens the tokens read
	 * @param queuedTokens the tokens of other prompts that were waiting when it was sent
	 * @param millis the time in milliseconds until the answer began
	 * @param targetSpeed the speed of the target, which is updated too
	 * @param nowNanos the monotonic time
	 */
	void recordPromptRead(long tokens, long queuedTokens, double millis, TargetSpeed targetSpeed, long nowNanos) {
		if (tokens < MIN_SAMPLE_TOKENS || queuedTokens > MAX_QUEUED_FRACTION * tokens) {
			return;
		}
		double rate = tokens / Math.max(1, millis - BASE_MILLIS);
		double clampedRate = Math.max(SLOWEST_TOKENS_PER_MILLI, Math.min(FASTEST_TOKENS_PER_MILLI, rate));
		double knownRate = tokensPerMilli(nowNanos);
		targetSpeed.recordPromptRead(clampedRate / knownRate, nowNanos);
		this.tokensPerMilli = knownRate + NEW_SAMPLE_WEIGHT * (clampedRate - knownRate);
		this.measuredNanos = nowNanos;
	}

	private double tokensPerMilli(long nowNanos) {
		boolean expired = nowNanos - this.measuredNanos > SLOW_READING_NANOS;
		return expired ? Math.max(INITIAL_TOKENS_PER_MILLI, this.tokensPerMilli) : this.tokensPerMilli;
	}

	double tokensPerSecond(TargetSpeed targetSpeed, long nowNanos) {
		return MILLIS_PER_SECOND * tokensPerMilli(nowNanos) * targetSpeed.readingFactor(nowNanos);
	}

	AnswerPace answerPace() {
		return this.answerPace;
	}

	double readMillis(long tokens, long nowNanos) {
		return BASE_MILLIS + tokens / tokensPerMilli(nowNanos);
	}

	double readMillis(long tokens, TargetSpeed targetSpeed, long nowNanos) {
		return BASE_MILLIS + tokens / (tokensPerMilli(nowNanos) * targetSpeed.readingFactor(nowNanos));
	}

}
