package org.vanillatrestle.internal.declaration;

/**
 * The properties of a service's model engines, as given in a declaration.
 * <p>
 * Immutable and thread safe.
 *
 * @param slots the number of requests that one engine runs concurrently
 * @param cacheCapacityTokens the capacity of one engine's cache memory, in tokens
 * @param cacheBytesPerToken the cache memory used by one token, in bytes; 0 if not
 * specified
 * @param linkMegabitsPerSecond the rate at which engines copy cache memory from each
 * other, in megabits per second; 0 if they cannot
 */
public record ModelEngine(int slots, long cacheCapacityTokens, double cacheBytesPerToken,
		double linkMegabitsPerSecond) {

	private static final double BITS_PER_BYTE = 8;

	private static final double BITS_PER_MILLI_AT_ONE_MEGABIT_PER_SECOND = 1_000;

	/**
	 * Returns whether an engine can copy cache memory from another engine.
	 * @return whether copying is possible
	 */
	public boolean canCopy() {
		return this.cacheBytesPerToken > 0 && this.linkMegabitsPerSecond > 0;
	}

	/**
	 * Estimates the time to copy cache memory between two engines.
	 * @param tokens the number of tokens to copy
	 * @return the time in milliseconds, infinite if copying is not possible
	 */
	public double estimateCopyMillis(long tokens) {
		if (!canCopy()) {
			return Double.POSITIVE_INFINITY;
		}
		return tokens * this.cacheBytesPerToken * BITS_PER_BYTE
				/ (this.linkMegabitsPerSecond * BITS_PER_MILLI_AT_ONE_MEGABIT_PER_SECOND);
	}

}
