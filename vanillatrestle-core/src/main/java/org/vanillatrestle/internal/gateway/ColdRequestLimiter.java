package org.vanillatrestle.internal.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Limits the requests that this VM sends to one cold target within any second.
 * <p>
 * The limit is this VM's quota of the requests that the target tolerates from all VMs
 * together. Not thread safe.
 */
final class ColdRequestLimiter {

	/**
	 * The window in which requests are counted. It is longer than the one second of the
	 * limit, because network delays vary between requests.
	 */
	private static final long WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(1_150);

	private final Deque<Long> sentNanos = new ArrayDeque<>();

	/**
	 * Returns whether one more request stays within the limit.
	 * @param limit the requests that this VM may send in a window
	 * @param nowNanos the monotonic time
	 * @return whether the request may be sent
	 */
	boolean canSend(int limit, long nowNanos) {
		while (!this.sentNanos.isEmpty() && nowNanos - this.sentNanos.peekFirst() > WINDOW_NANOS) {
			this.sentNanos.removeFirst();
		}
		return this.sentNanos.size() < limit;
	}

	void recordSent(long nowNanos) {
		this.sentNanos.addLast(nowNanos);
	}

}
