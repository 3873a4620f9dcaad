package org.vanillatrestle.internal.retry;

/**
 * Settings of retries.
 * <p>
 * Immutable and thread safe.
 *
 * @param maxAttempts the maximum number of attempts per request, including the first
 * @param budgetPercent the number of retries allowed as a percentage of requests
 * @param burst the maximum number of unused retries that a budget accumulates
 * @param backoffNanos the mean back-off before the second attempt, in nanoseconds; it
 * doubles with each further attempt
 * @param maxBackoffNanos the maximum mean back-off, in nanoseconds
 */
public record RetrySettings(int maxAttempts, int budgetPercent, int burst, long backoffNanos, long maxBackoffNanos) {

	/**
	 * The default settings.
	 */
	public static final RetrySettings DEFAULTS = new RetrySettings(4, 10, 20, 10_000_000, 1_000_000_000);

}
