package org.vanillatrestle.daemon.internal.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.vanillatrestle.VmId;

/**
 * Tracks the entry VMs that follow this control VM, that is, that asked it for updates.
 * <p>
 * Not thread safe.
 */
final class Followers {

	/**
	 * A VM that has not repeated its request for this long is assumed to follow another
	 * control VM. A following VM repeats its request several times within this period.
	 */
	private static final long REQUEST_EXPIRY_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

	/**
	 * Number of control VMs that an entry VM follows to learn of the other entry VMs; the
	 * second covers the loss of the first.
	 */
	private static final int FOLLOWED_CONTROL_VMS = 2;

	/**
	 * A control VM and an entry VM that does not follow it exchange every second
	 * heartbeat. That is still three within the time after which a silent VM counts as
	 * lost.
	 */
	private static final int HEARTBEATS_PER_UNFOLLOWED_EXCHANGE = 2;

	private final Map<VmId, Long> requestedNanos = new HashMap<>();

	/**
	 * Returns whether an entry VM follows the control VM of a given rank.
	 * @param rank the number of control VMs that are nearer to the entry VM
	 * @return whether the entry VM follows it
	 */
	static boolean isFollowedRank(int rank) {
		return rank < FOLLOWED_CONTROL_VMS;
	}

	/**
	 * Returns whether a heartbeat is also sent to VMs outside the sender's follower
	 * relations.
	 * @param heartbeat the sequence number of the sender's heartbeat
	 * @return whether it is
	 */
	static boolean isSentToNonFollowers(long heartbeat) {
		return heartbeat % HEARTBEATS_PER_UNFOLLOWED_EXCHANGE == 0;
	}

	void update(VmId vm, boolean follows, long nowNanos) {
		if (follows) {
			this.requestedNanos.put(vm, nowNanos);
		}
		else {
			this.requestedNanos.remove(vm);
		}
	}

	Set<VmId> currentFollowers(long nowNanos) {
		this.requestedNanos.values().removeIf((requested) -> nowNanos - requested > REQUEST_EXPIRY_NANOS);
		return Set.copyOf(this.requestedNanos.keySet());
	}

}
