package org.vanillatrestle.internal.admission;

/**
 * A token bucket whose rate may change at any time.
 * <p>
 * Over any time T it gives at most {@code rate * (T + 1 s)} and one further demand: a
 * demand greater than the bucket is met when the bucket is full and leaves a debt. Not
 * thread safe.
 */
public final class TokenBucket {

	private static final double SECOND_NANOS = 1e9;

	private double ratePerSecond;

	private double leastCapacity;

	private double available;

	private long filledNanos;

	/**
	 * Creates a full bucket.
	 * @param ratePerSecond what flows in each second
	 * @param leastCapacity the least that the bucket can hold
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public TokenBucket(double ratePerSecond, double leastCapacity, long nowNanos) {
		this.ratePerSecond = ratePerSecond;
		this.leastCapacity = leastCapacity;
		this.available = capacity();
		this.filledNanos = nowNanos;
	}

	/**
	 * Changes the rate; a lower rate also takes away what the bucket can't hold any more.
	 * @param newRatePerSecond what flows in each second
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void rate(double newRatePerSecond, long nowNanos) {
		fill(nowNanos);
		this.ratePerSecond = newRatePerSecond;
		this.available = Math.min(this.available, capacity());
	}

	/**
	 * Takes a demand if it can be met.
	 * @param demand the demand
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return whether it was taken
	 */
	public boolean take(double demand, long nowNanos) {
		if (!has(demand, nowNanos)) {
			return false;
		}
		this.available -= demand;
		return true;
	}

	/**
	 * Tells whether a demand can be met.
	 * @param demand the demand
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return whether it can be met
	 */
	public boolean has(double demand, long nowNanos) {
		fill(nowNanos);
		return this.ratePerSecond > 0 && this.available >= Math.min(demand, capacity());
	}

	/**
	 * Returns what a demand took but did not need.
	 * @param amount the amount
	 */
	public void giveBack(double amount) {
		this.available = Math.min(capacity(), this.available + amount);
	}

	/**
	 * Returns when a demand can be met if nothing else is taken.
	 * @param demand the demand
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return nanoseconds from now
	 */
	public long nanosUntil(double demand, long nowNanos) {
		fill(nowNanos);
		double missing = Math.min(demand, capacity()) - this.available;
		if (missing <= 0) {
			return 0;
		}
		if (this.ratePerSecond <= 0) {
			return Long.MAX_VALUE;
		}
		return (long) Math.ceil(missing / this.ratePerSecond * SECOND_NANOS);
	}

	private void fill(long nowNanos) {
		double seconds = Math.max(0, nowNanos - this.filledNanos) / SECOND_NANOS;
		this.available = Math.min(capacity(), this.available + seconds * this.ratePerSecond);
		this.filledNanos = Math.max(this.filledNanos, nowNanos);
	}

	private double capacity() {
		return Math.max(this.leastCapacity, this.ratePerSecond);
	}

}
