package org.vanillatrestle.internal.gateway;

import java.util.concurrent.TimeUnit;

/**
 * Tracks the health of a target, or of a VM of another region, by the outcome of
 * requests.
 * <p>
 * A target that can't be reached, or that fails several requests in a row or too large a
 * share of them, is ejected for a time that doubles with each ejection up to a limit.
 * Then it is probed by one request at a time until one succeeds. Not thread safe.
 */
final class TargetHealth {

	private static final int MAX_CONSECUTIVE_FAILURES = 3;

	/**
	 * The share of failed requests above which a further failure ejects the target.
	 */
	private static final double FAILED_SHARE_LIMIT = 0.35;

	private static final double ERROR_ANSWER_FAILURE = 0.5;

	private static final int MIN_SAMPLES = 8;

	private static final double NEW_SAMPLE_WEIGHT = 0.12;

	private static final long FIRST_EJECTION_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final long LONGEST_EJECTION_NANOS = TimeUnit.SECONDS.toNanos(8);

	/**
	 * The time in which a target that has ended starts again and reports that it is cold.
	 */
	private static final long RESTART_NANOS = TimeUnit.SECONDS.toNanos(8);

	private int consecutiveFailures;

	private int samples;

	private double failedShare;

	private long ejectedUntilNanos;

	private long ejectedNanos;

	private final long firstEjectionNanos;

	private final long longestEjectionNanos;

	private long ejectionNanos;

	private boolean ejected;

	TargetHealth() {
		this(FIRST_EJECTION_NANOS, LONGEST_EJECTION_NANOS);
	}

	/**
	 * Creates the state of a target without any failures.
	 * @param firstEjectionNanos the length of the first ejection in nanoseconds
	 * @param longestEjectionNanos the greatest length of an ejection in nanoseconds
	 */
	TargetHealth(long firstEjectionNanos, long longestEjectionNanos) {
		this.firstEjectionNanos = firstEjectionNanos;
		this.longestEjectionNanos = longestEjectionNanos;
		this.ejectionNanos = firstEjectionNanos;
	}

	void succeeded() {
		this.consecutiveFailures = 0;
		addSample(0);
		if (this.ejected) {
			this.ejected = false;
			this.samples = 0;
			this.failedShare = 0;
		}
		if (this.failedShare < FAILED_SHARE_LIMIT / 4) {
			this.ejectionNanos = this.firstEjectionNanos;
		}
	}

	/**
	 * Notes an error answer. It counts as a partial failure only and never ejects a
	 * target by itself, because the request may have caused the error.
	 */
	void answeredWithError() {
		this.consecutiveFailures = 0;
		addSample(ERROR_ANSWER_FAILURE);
	}

	/**
	 * Notes a failed request.
	 * @param unreachable whether no connection could be made
	 * @param nowNanos the monotonic time
	 * @return whether this failure ejects the target
	 */
	boolean failed(boolean unreachable, long nowNanos) {
		this.consecutiveFailures++;
		addSample(1);
		boolean exceedsFailedShare = this.samples >= MIN_SAMPLES && this.failedShare > FAILED_SHARE_LIMIT;
		if (this.ejected || unreachable || this.consecutiveFailures >= MAX_CONSECUTIVE_FAILURES || exceedsFailedShare) {
			if (this.ejected && nowNanos < this.ejectedUntilNanos) {
				return false;
			}
			this.ejected = true;
			this.ejectedNanos = nowNanos;
			this.ejectedUntilNanos = nowNanos + this.ejectionNanos;
			this.ejectionNanos = Math.min(2 * this.ejectionNanos, this.longestEjectionNanos);
			return true;
		}
		return false;
	}

	private void addSample(double value) {
		this.samples++;
		this.failedShare += NEW_SAMPLE_WEIGHT * (value - this.failedShare);
	}

	boolean isEjected(long nowNanos) {
		return this.ejected && nowNanos < this.ejectedUntilNanos;
	}

	/**
	 * Returns whether the target may get only one request at a time.
	 * @return {@code true} from an ejection until a request succeeds
	 */
	boolean isProbing() {
		return this.ejected;
	}

	/**
	 * Returns whether the target may have restarted without this VM knowing of it, and so
	 * be cold.
	 * @param coldMillis the time in milliseconds that a target stays cold after its start
	 * @param nowNanos the monotonic time
	 * @return {@code true} from an ejection until a request succeeds, or until a target
	 * that ended at the ejection would have started again and be warm
	 */
	boolean mayHaveRestarted(long coldMillis, long nowNanos) {
		long restartNanos = RESTART_NANOS + TimeUnit.MILLISECONDS.toNanos(coldMillis);
		return this.ejected && nowNanos - this.ejectedNanos < restartNanos;
	}

	double failedShare() {
		return this.failedShare;
	}

}
