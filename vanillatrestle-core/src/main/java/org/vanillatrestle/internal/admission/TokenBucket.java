package org.vanillatrestle.internal.admission;

/**
 * A token bucket whose rate may change at any time.
 * <p>
 * Over any period T, at most {@code rate * (T + 1 s)} plus one further amount can be
 * consumed, from a pacing bucket at most {@code rate * T + 1}. An amount that exceeds the
 * bucket's capacity can be consumed when the bucket is full; the available amount then
 * becomes negative. Not thread safe.
 */
public final class TokenBucket {

	private static final double NANOS_PER_SECOND = 1e9;

	private double ratePerSecond;

	private double minCapacity;

	private final double capacitySeconds;

	private double available;

	private long lastRefillNanos;

	/**
	 * Creates a full bucket.
	 * @param ratePerSecond the amount added per second
	 * @param minCapacity the minimum capacity; the capacity is the amount added in one
	 * second if that is greater
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public TokenBucket(double ratePerSecond, double minCapacity, long nowNanos) {
		this(ratePerSecond, minCapacity, 1, nowNanos);
		this.available = capacity();
	}

	private TokenBucket(double ratePerSecond, double minCapacity, double capacitySeconds, long nowNanos) {
		this.ratePerSecond = ratePerSecond;
		this.minCapacity = minCapacity;
		this.capacitySeconds = capacitySeconds;
		this.lastRefillNanos = nowNanos;
	}

	/**
	 * Creates an empty bucket with a capacity of 1 at any rate, which spaces amounts of 1
	 * evenly.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return a bucket with a rate of 0
	 */
	public static TokenBucket pacing(long nowNanos) {
		return new TokenBucket(0, 1, 0, nowNanos);
	}

	/**
	 * Changes the rate. If the rate decreases, the available amount is reduced to the new
	 * capacity.
	 * @param newRatePerSecond the amount added per second
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void updateRate(double newRatePerSecond, long nowNanos) {
		refill(nowNanos);
		this.ratePerSecond = newRatePerSecond;
		this.available = Math.min(this.available, capacity());
	}

	/**
	 * Consumes an amount if it is available.
	 * @param amount the amount to consume
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return {@code true} if the amount was consumed
	 */
	public boolean tryConsume(double amount, long nowNanos) {
		if (!canConsume(amount, nowNanos)) {
			return false;
		}
		this.available -= amount;
		return true;
	}

	/**
	 * Returns whether an amount can be consumed now.
	 * @param amount the amount to consume
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return {@code true} if the amount can be consumed
	 */
	public boolean canConsume(double amount, long nowNanos) {
		refill(nowNanos);
		return this.ratePerSecond > 0 && this.available >= Math.min(amount, capacity());
	}

	/**
	 * Returns a consumed but unused amount to the bucket, up to its capacity.
	 * @param amount the unused amount
	 */
	public void refund(double amount) {
		this.available = Math.min(capacity(), this.available + amount);
	}

	/**
	 * Returns the time until an amount can be consumed, if nothing else is consumed in
	 * the meantime.
	 * @param amount the amount to consume
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the time in nanoseconds from now, or {@link Long#MAX_VALUE} if the rate is
	 * 0 and the amount is not available
	 */
	public long nanosUntilAvailable(double amount, long nowNanos) {
		refill(nowNanos);
		double missing = Math.min(amount, capacity()) - this.available;
		if (missing <= 0) {
			return 0;
		}
		if (this.ratePerSecond <= 0) {
			return Long.MAX_VALUE;
		}
		return (long) Math.ceil(missing / this.ratePerSecond * NANOS_PER_SECOND);
	}

	private void refill(long nowNanos) {
		double seconds = Math.max(0, nowNanos - this.lastRefillNanos) / NANOS_PER_SECOND;
		this.available = Math.min(capacity(), this.available + seconds * this.ratePerSecond);
		this.lastRefillNanos = Math.max(this.lastRefillNanos, nowNanos);
	}

	private double capacity() {
		return Math.max(this.minCapacity, this.ratePerSecond * this.capacitySeconds);
	}

}
