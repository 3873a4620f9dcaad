package org.vanillatrestle.internal.gateway;

import java.util.HashMap;
import java.util.Map;

import org.vanillatrestle.ServiceName;

/**
 * Keeps the repeats of all VMs together within a share of the requests.
 * <p>
 * Each VM spends a ratio of its own requests and an even part of the common allowance, so
 * that the sum over all VMs stays within the bound without any message. Invariant: over
 * any window the repeats granted here don't exceed this VM's part. Not thread safe.
 */
public final class RetryBudget {

	/**
	 * The part of the bound that is spent, the rest covers repeats in flight between
	 * windows.
	 */
	private static final double SPENT_PART = 0.75;

	private static final int BUCKETS = 10;

	private final double ratio;

	private final double allowance;

	private final long bucketNanos;

	private final Map<ServiceName, Window> windows = new HashMap<>();

	private int vmCount = 1;

	/**
	 * Creates a budget with nothing spent.
	 * @param ratio the repeats allowed for each request
	 * @param allowance the repeats allowed besides, all VMs together
	 * @param windowNanos the length of the window
	 */
	public RetryBudget(double ratio, double allowance, long windowNanos) {
		this.ratio = ratio;
		this.allowance = allowance;
		this.bucketNanos = Math.max(1, windowNanos / BUCKETS);
	}

	/**
	 * Sets how many VMs share the allowance. The highest number ever told holds, since a
	 * VM that is out of reach goes on spending.
	 * @param count the VMs known
	 */
	public void setVmCount(int count) {
		this.vmCount = Math.max(this.vmCount, count);
	}

	/**
	 * Counts a request.
	 * @param service its service
	 * @param nowNanos the monotonic time
	 */
	public void request(ServiceName service, long nowNanos) {
		window(service, nowNanos).requests[0]++;
	}

	/**
	 * Asks for one repeat.
	 * @param service the service that gets it
	 * @param nowNanos the monotonic time
	 * @return whether it may be sent; it then counts as sent
	 */
	public boolean tryRepeat(ServiceName service, long nowNanos) {
		Window window = window(service, nowNanos);
		if (left(window) < 1) {
			return false;
		}
		window.repeats[0]++;
		return true;
	}

	/**
	 * Tells how many repeats are left.
	 * @param service the service
	 * @param nowNanos the monotonic time
	 * @return the number
	 */
	public double left(ServiceName service, long nowNanos) {
		return left(window(service, nowNanos));
	}

	private double left(Window window) {
		long requests = 0;
		long repeats = 0;
		for (int i = 0; i <= BUCKETS; i++) {
			requests += (i < BUCKETS) ? window.requests[i] : 0;
			repeats += window.repeats[i];
		}
		return SPENT_PART * (this.ratio * requests + this.allowance / this.vmCount) - repeats;
	}

	private Window window(ServiceName service, long nowNanos) {
		Window window = this.windows.computeIfAbsent(service, (key) -> new Window());
		window.advance(Math.floorDiv(nowNanos, this.bucketNanos));
		return window;
	}

	/**
	 * Counts by bucket, the current one first.
	 */
	private static final class Window {

		private final long[] requests = new long[BUCKETS + 1];

		private final long[] repeats = new long[BUCKETS + 1];

		private long bucket = Long.MIN_VALUE;

		void advance(long current) {
			long steps = (this.bucket == Long.MIN_VALUE) ? 0 : Math.min(current - this.bucket, BUCKETS + 1L);
			for (long i = 0; i < steps; i++) {
				shift(this.requests);
				shift(this.repeats);
			}
			this.bucket = Math.max(current, this.bucket);
		}

		private static void shift(long[] counts) {
			System.arraycopy(counts, 0, counts, 1, counts.length - 1);
			counts[0] = 0;
		}

	}

}
