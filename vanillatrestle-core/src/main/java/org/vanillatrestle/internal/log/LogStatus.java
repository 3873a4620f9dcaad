package org.vanillatrestle.internal.log;

import java.util.Optional;

/**
 * The status of a replica, as seen by the replica itself.
 * <p>
 * Immutable and thread safe.
 *
 * @param self the id of the replica
 * @param role its current role
 * @param term its current term
 * @param leader the leader of the term, if known
 * @param leaderlessNanos the time in nanoseconds since the last contact with a leader, 0
 * if there is a leader; a leader itself counts as leaderless until its first commit in
 * the term
 * @param lastIndex the last index in its log
 * @param commitIndex the last index known to be committed
 * @param appliedIndex the last index passed to the state machine
 * @param snapshotIndex the last index covered by the snapshot
 * @param membership the membership in effect
 * @param membershipCommitted whether that membership is known to be committed
 * @param removed whether another member reported that this replica is not a member, or
 * this replica committed its own removal as leader
 * @param failure why the storage failed, empty if it did not
 */
public record LogStatus(ReplicaId self, Role role, long term, Optional<ReplicaId> leader, long leaderlessNanos,
		long lastIndex, long commitIndex, long appliedIndex, long snapshotIndex, Membership membership,
		boolean membershipCommitted, boolean removed, Optional<String> failure) {

	/**
	 * Whether this replica votes, as far as it knows.
	 * @return true if it is one of the voters of the membership in effect
	 */
	public boolean isVoter() {
		return this.membership.isVoter(this.self);
	}

}
