package org.vanillatrestle.internal.gateway;

import java.util.concurrent.TimeUnit;

/**
 * The measured speed of one target: how fast it answers requests of a plain service, or
 * how fast it reads prompts, compared with the other targets of its service, and the
 * recent pace and longest pause of its streams.
 * <p>
 * Nothing measured keeps requests away for good: what is slower than usual expires. Not
 * thread safe.
 */
final class TargetSpeed {

	private static final double NEW_SAMPLE_WEIGHT = 0.08;

	private static final double MIN_READING_FACTOR = 0.25;

	private static final double MAX_READING_FACTOR = 4;

	/**
	 * The time for which a stream pause is remembered. A target may always read slowly,
	 * but it may also be slow for a limited time only.
	 */
	private static final long PAUSE_MEMORY_NANOS = TimeUnit.SECONDS.toNanos(15);

	private static final double NEW_EVENT_WEIGHT = 0.05;

	/**
	 * The time without an event after which the pace of the streams is unknown.
	 */
	private static final long EVENT_MEMORY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

	private final AnswerTimeEstimate answerTime = new AnswerTimeEstimate();

	private double readingFactor = 1;

	private long readNanos;

	private double eventMillis;

	private long eventNanos;

	private long pauseMillis;

	private long pausedNanos;

	AnswerTimeEstimate answerTime() {
		return this.answerTime;
	}

	/**
	 * Records that the target has read a prompt.
	 * @param factor the reading speed as a multiple of the service's average
	 * @param nowNanos the monotonic time
	 */
	void recordPromptRead(double factor, long nowNanos) {
		double clampedFactor = Math.max(MIN_READING_FACTOR, Math.min(MAX_READING_FACTOR, factor));
		double knownFactor = readingFactor(nowNanos);
		this.readingFactor = knownFactor + NEW_SAMPLE_WEIGHT * (clampedFactor - knownFactor);
		this.readNanos = nowNanos;
	}

	/**
	 * Returns the target's reading speed.
	 * @param nowNanos the monotonic time
	 * @return the speed as a multiple of the service's average, at least the average if
	 * the target has read no prompt for long
	 */
	double readingFactor(long nowNanos) {
		boolean expired = nowNanos - this.readNanos > ServiceSpeed.SLOW_READING_NANOS;
		return expired ? Math.max(1, this.readingFactor) : this.readingFactor;
	}

	/**
	 * Records a pause between two events of a stream.
	 * @param millis the length of the pause in milliseconds
	 * @param nowNanos the monotonic time
	 */
	void recordPause(long millis, long nowNanos) {
		double meanMillis = eventMillis(nowNanos);
		this.eventMillis = (meanMillis == 0) ? millis : meanMillis + NEW_EVENT_WEIGHT * (millis - meanMillis);
		this.eventNanos = nowNanos;
		if (millis >= longestPauseMillis(nowNanos)) {
			this.pauseMillis = millis;
			this.pausedNanos = nowNanos;
		}
	}

	/**
	 * Returns the recent mean time between two events of a stream.
	 * @param nowNanos the monotonic time
	 * @return the time in milliseconds, 0 if there were no events of late
	 */
	double eventMillis(long nowNanos) {
		return (nowNanos - this.eventNanos > EVENT_MEMORY_NANOS) ? 0 : this.eventMillis;
	}

	/**
	 * Returns the longest pause that is still remembered.
	 * @param nowNanos the monotonic time
	 * @return the pause in milliseconds, 0 if there was none
	 */
	long longestPauseMillis(long nowNanos) {
		return (nowNanos - this.pausedNanos > PAUSE_MEMORY_NANOS) ? 0 : this.pauseMillis;
	}

}
