package org.vanillatrestle.bench.internal.load;

/**
 * How much load there is and for how long.
 * <p>
 * Immutable and thread safe.
 *
 * @param ratePerSecond mean arrivals per second, exponentially spaced; 0 to keep
 * {@code maxInFlight} requests in flight at all times
 * @param warmUpMillis the time before measurements count
 * @param durationMillis the time in which measurements count
 * @param maxInFlight the most requests in flight; arrivals beyond wait, and their latency
 * counts from the arrival
 * @param seed the seed of the arrivals
 */
public record LoadShape(double ratePerSecond, long warmUpMillis, long durationMillis, int maxInFlight, long seed) {

	/**
	 * Tells whether requests arrive by themselves, whether or not earlier ones have
	 * ended.
	 * @return whether the load is open-loop
	 */
	public boolean isOpenLoop() {
		return this.ratePerSecond > 0;
	}

}
