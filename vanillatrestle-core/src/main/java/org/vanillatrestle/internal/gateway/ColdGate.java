package org.vanillatrestle.internal.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Bounds the requests that this VM sends to one cold target within any second.
 * <p>
 * The bound is this VM's part of what the target tolerates from all VMs together. Not
 * thread safe.
 */
final class ColdGate {

	/**
	 * A little more than the second that the bound speaks of, for differences in travel
	 * time.
	 */
	private static final long WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(1_150);

	private final Deque<Long> sentNanos = new ArrayDeque<>();

	/**
	 * Tells whether one more request fits.
	 * @param limit this VM's part
	 * @param nowNanos the monotonic time
	 * @return whether it fits
	 */
	boolean hasRoom(int limit, long nowNanos) {
		while (!this.sentNanos.isEmpty() && nowNanos - this.sentNanos.peekFirst() > WINDOW_NANOS) {
			this.sentNanos.removeFirst();
		}
		return this.sentNanos.size() < limit;
	}

	void sent(long nowNanos) {
		this.sentNanos.addLast(nowNanos);
	}

}
