package org.vanillatrestle.internal.membership;

import java.util.concurrent.TimeUnit;

/**
 * Timeouts and limits of the membership protocol within a data centre.
 * <p>
 * Immutable and thread safe.
 *
 * @param periodNanos the time between two heartbeats, in nanoseconds
 * @param fanOut the number of receivers of each heartbeat
 * @param suspectAfterNanos the time without a newer heartbeat after which a VM is
 * suspected, in nanoseconds
 * @param deadAfterNanos the further time without a newer heartbeat after which a
 * suspected VM is considered dead, in nanoseconds
 * @param announceGoneNanos how long a VM that is dead or has left is included in
 * messages, in nanoseconds
 * @param forgetAfterNanos how long a VM that is dead or has left is remembered, in
 * nanoseconds
 * @param maxMembers the maximum number of other VMs remembered
 */
public record MembershipSettings(long periodNanos, int fanOut, long suspectAfterNanos, long deadAfterNanos,
		long announceGoneNanos, long forgetAfterNanos, int maxMembers) {

	/**
	 * Returns the values used unless a daemon's settings override them.
	 * @return the defaults
	 */
	public static MembershipSettings defaults() {
		return new MembershipSettings(TimeUnit.SECONDS.toNanos(1), 2, TimeUnit.SECONDS.toNanos(6),
				TimeUnit.SECONDS.toNanos(4), TimeUnit.SECONDS.toNanos(15), TimeUnit.HOURS.toNanos(1), 512);
	}

}
