package org.vanillatrestle.daemon.internal.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.vanillatrestle.TargetId;

/**
 * The rejections of the rest of one answer that has begun, by targets of this region.
 * <p>
 * A target that rejected the rest may get it again some time later. After several
 * rejections one target at a time gets it. Used only on the VM's event loop.
 */
final class RestRejections {

	/**
	 * The time after which a target that rejected the rest may have a free place.
	 */
	static final long REJECTION_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	/**
	 * The rejections after which one target at a time gets the rest, so that one answer
	 * does not use up the retries of others.
	 */
	private static final int MAX_REJECTIONS_AT_ONCE = 3;

	private final Map<TargetId, Long> rejectedNanos = new HashMap<>();

	private int count;

	private long lastNanos;

	void record(TargetId target, long nowNanos) {
		this.rejectedNanos.put(target, nowNanos);
		this.count++;
		this.lastNanos = nowNanos;
	}

	/**
	 * Notes that a target gets the rest again.
	 * @param target the target
	 */
	void recordSend(TargetId target) {
		this.rejectedNanos.remove(target);
	}

	/**
	 * Returns all rejections so far.
	 * @return the number
	 */
	int count() {
		return this.count;
	}

	/**
	 * Returns the targets that rejected the rest less than a pause ago, or longer ago.
	 * @param recent which of the two
	 * @param pauseNanos the length of the pause
	 * @param nowNanos the monotonic time
	 * @return the targets that have not got the rest since
	 */
	Set<TargetId> targets(boolean recent, long pauseNanos, long nowNanos) {
		Set<TargetId> targets = new HashSet<>();
		this.rejectedNanos.forEach((target, rejected) -> {
			if (recent == (nowNanos - rejected < pauseNanos)) {
				targets.add(target);
			}
		});
		return targets;
	}

	/**
	 * Checks whether no target may get the rest now, as several have rejected it and the
	 * last one did so recently.
	 * @param pauseNanos the time between attempts
	 * @param nowNanos the monotonic time
	 * @return whether the rest has to wait
	 */
	boolean isPaused(long pauseNanos, long nowNanos) {
		return this.count >= MAX_REJECTIONS_AT_ONCE && nowNanos - this.lastNanos < pauseNanos;
	}

}
