package org.vanillatrestle.internal.membership;

import java.util.concurrent.TimeUnit;

/**
 * Times and limits of the membership within a data centre.
 * <p>
 * Immutable and thread safe.
 *
 * @param periodNanos between two heartbeats
 * @param fanOut receivers of each heartbeat
 * @param suspectAfterNanos silence after which a VM is suspected
 * @param deadAfterNanos further silence after which a suspected VM is taken for dead
 * @param tellGoneNanos how long a dead or left VM is named in messages
 * @param forgetAfterNanos how long a dead or left VM is remembered
 * @param maxMembers the most VMs remembered
 */
public record MembershipSettings(long periodNanos, int fanOut, long suspectAfterNanos, long deadAfterNanos,
		long tellGoneNanos, long forgetAfterNanos, int maxMembers) {

	/**
	 * Returns the settings used where a daemon's settings say nothing.
	 * @return the defaults
	 */
	public static MembershipSettings defaults() {
		return new MembershipSettings(TimeUnit.SECONDS.toNanos(1), 2, TimeUnit.SECONDS.toNanos(6),
				TimeUnit.SECONDS.toNanos(4), TimeUnit.SECONDS.toNanos(15), TimeUnit.HOURS.toNanos(1), 512);
	}

}
