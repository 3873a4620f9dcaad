package org.vanillatrestle.internal.gateway;

import java.util.concurrent.TimeUnit;

/**
 * The recent time in which one target of a plain service answers this VM.
 * <p>
 * Invariant: an estimate never keeps requests away for good. While this VM has nothing in
 * flight at the target, the estimate approaches that of a target without answers; while a
 * request is in flight it is held, so that a target that still is slow gets one request
 * at a time. Not thread safe.
 */
final class AnswerTimeEstimate {

	/**
	 * The time constant with which an estimate follows the answers, and is forgotten
	 * without any.
	 */
	private static final double MEMORY_NANOS = TimeUnit.SECONDS.toNanos(2);

	/**
	 * The least weight of an answer, however quickly it follows another one.
	 */
	private static final double MIN_SAMPLE_WEIGHT = 0.05;

	// negative until measured
	private double millis = -1;

	private long answeredNanos;

	/**
	 * Records an answer. The longer the pause since the previous one, the more it counts.
	 * @param answerMillis the time in milliseconds from the request to its answer
	 * @param nowNanos the monotonic time
	 */
	void recordAnswer(double answerMillis, long nowNanos) {
		double weight = (this.millis < 0) ? 1 : Math.max(MIN_SAMPLE_WEIGHT, 1 - remainingShare(nowNanos));
		this.millis += weight * (answerMillis - this.millis);
		this.answeredNanos = nowNanos;
	}

	/**
	 * Returns the expected time from a request to its answer.
	 * @param unknownMillis the time in milliseconds expected of a target without answers
	 * @param idle whether this VM has nothing in flight at the target
	 * @param nowNanos the monotonic time
	 * @return the time in milliseconds
	 */
	double millis(double unknownMillis, boolean idle, long nowNanos) {
		if (this.millis < 0) {
			return unknownMillis;
		}
		return idle ? unknownMillis + remainingShare(nowNanos) * (this.millis - unknownMillis) : this.millis;
	}

	/**
	 * Returns the age of the estimate.
	 * @param nowNanos the monotonic time
	 * @return the time in milliseconds since the last answer, -1 if there was none
	 */
	long ageMillis(long nowNanos) {
		return (this.millis < 0) ? -1 : TimeUnit.NANOSECONDS.toMillis(nowNanos - this.answeredNanos);
	}

	private double remainingShare(long nowNanos) {
		return Math.exp(-(nowNanos - this.answeredNanos) / MEMORY_NANOS);
	}

}
