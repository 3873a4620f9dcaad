package org.vanillatrestle.internal.log;

import java.util.Optional;

/**
 * What a replica knows of itself.
 * <p>
 * Immutable and thread safe.
 *
 * @param self the replica
 * @param role its part
 * @param term its term
 * @param leader the leader it follows
 * @param leaderlessNanos for how long it has had no leader, 0 with one; a leader has none
 * until its first commit
 * @param lastIndex the last index in its log
 * @param commitIndex the last index known to be committed
 * @param appliedIndex the last index handed to the state machine
 * @param snapshotIndex the last index within the snapshot
 * @param membership the membership in force
 * @param membershipCommitted whether that membership is known to be committed
 * @param removed whether another member said that this replica is none
 * @param failure why the storage failed
 */
public record LogStatus(ReplicaId self, Role role, long term, Optional<ReplicaId> leader, long leaderlessNanos,
		long lastIndex, long commitIndex, long appliedIndex, long snapshotIndex, Membership membership,
		boolean membershipCommitted, boolean removed, Optional<String> failure) {
}
