package org.vanillatrestle.internal.gateway;

import java.util.HashMap;
import java.util.Map;

import org.vanillatrestle.ServiceName;

/**
 * Limits the retries of all VMs together to a fraction of the requests.
 * <p>
 * Each VM may send retries for a fraction of its own requests plus an equal part of the
 * common allowance, so that the sum over all VMs stays within the limit without
 * exchanging messages. Invariant: in any window the retries granted here don't exceed
 * this VM's part. Not thread safe.
 */
public final class RetryBudget {

	/**
	 * The fraction of the limit that is granted. The rest is a reserve for retries in
	 * flight between windows.
	 */
	private static final double GRANTED_FRACTION = 0.75;

	private static final int BUCKET_COUNT = 10;

	private final double ratio;

	private final double allowance;

	private final long bucketNanos;

	private final Map<ServiceName, Window> windows = new HashMap<>();

	private int vmCount = 1;

	/**
	 * Creates a budget from which no retry has been granted.
	 * @param ratio the retries allowed per request
	 * @param allowance the retries allowed in addition in a window, for all VMs together
	 * @param windowNanos the length of the window in nanoseconds
	 */
	public RetryBudget(double ratio, double allowance, long windowNanos) {
		this.ratio = ratio;
		this.allowance = allowance;
		this.bucketNanos = Math.max(1, windowNanos / BUCKET_COUNT);
	}

	/**
	 * Sets the number of VMs that share the allowance. The number never decreases,
	 * because a VM that can't be reached may still send retries.
	 * @param count the number of known VMs
	 */
	public void setVmCount(int count) {
		this.vmCount = Math.max(this.vmCount, count);
	}

	/**
	 * Counts a request.
	 * @param service the service of the request
	 * @param nowNanos the monotonic time
	 */
	public void recordRequest(ServiceName service, long nowNanos) {
		window(service, nowNanos).requests[0]++;
	}

	/**
	 * Requests permission for one retry.
	 * @param service the service of the request
	 * @param nowNanos the monotonic time
	 * @return whether the retry may be sent; if so, it is counted
	 */
	public boolean tryRetry(ServiceName service, long nowNanos) {
		Window window = window(service, nowNanos);
		if (state(window).left() < 1) {
			return false;
		}
		window.retries[0]++;
		return true;
	}

	/**
	 * Returns the state of a service's budget.
	 * @param service the service
	 * @param nowNanos the monotonic time
	 * @return the state
	 */
	public State state(ServiceName service, long nowNanos) {
		return state(window(service, nowNanos));
	}

	private State state(Window window) {
		long requests = 0;
		long retries = 0;
		for (int i = 0; i <= BUCKET_COUNT; i++) {
			requests += (i < BUCKET_COUNT) ? window.requests[i] : 0;
			retries += window.retries[i];
		}
		double granted = GRANTED_FRACTION * (this.ratio * requests + this.allowance / this.vmCount);
		return new State(requests, retries, this.vmCount, granted - retries);
	}

	private Window window(ServiceName service, long nowNanos) {
		Window window = this.windows.computeIfAbsent(service, (key) -> new Window());
		window.advance(Math.floorDiv(nowNanos, this.bucketNanos));
		return window;
	}

	/**
	 * The state of the budget of one service.
	 *
	 * @param requests the requests in the window
	 * @param retries the retries granted in the window
	 * @param vmCount the VMs among which the allowance is divided
	 * @param left the retries that may still be sent now
	 */
	public record State(long requests, long retries, int vmCount, double left) {
	}

	/**
	 * The counts of a sliding window, in buckets of equal length, the current one first.
	 */
	private static final class Window {

		private final long[] requests = new long[BUCKET_COUNT + 1];

		private final long[] retries = new long[BUCKET_COUNT + 1];

		private long currentBucket = Long.MIN_VALUE;

		void advance(long newBucket) {
			long steps = (this.currentBucket == Long.MIN_VALUE) ? 0
					: Math.min(newBucket - this.currentBucket, BUCKET_COUNT + 1L);
			for (long i = 0; i < steps; i++) {
				shift(this.requests);
				shift(this.retries);
			}
			this.currentBucket = Math.max(newBucket, this.currentBucket);
		}

		private static void shift(long[] counts) {
			System.arraycopy(counts, 0, counts, 1, counts.length - 1);
			counts[0] = 0;
		}

	}

}
