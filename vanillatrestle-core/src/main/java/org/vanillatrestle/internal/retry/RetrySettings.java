package org.vanillatrestle.internal.retry;

/**
 * Settings of retries.
 * <p>
 * Immutable and thread safe.
 *
 * @param maxAttempts greatest number of attempts of a request, the first included
 * @param budgetPercent retries allowed in percent of requests
 * @param burst retries that may be saved up
 * @param backoffNanos mean back-off before the second attempt; each further one doubles
 * it
 * @param maxBackoffNanos the longest back-off
 */
public record RetrySettings(int maxAttempts, int budgetPercent, int burst, long backoffNanos, long maxBackoffNanos) {

	/**
	 * The defaults.
	 */
	public static final RetrySettings DEFAULTS = new RetrySettings(4, 10, 20, 10_000_000, 1_000_000_000);

}
