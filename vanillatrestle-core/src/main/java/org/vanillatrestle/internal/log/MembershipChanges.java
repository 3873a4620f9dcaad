package org.vanillatrestle.internal.log;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;

import org.vanillatrestle.VmId;

/**
 * Membership changes started by the leader.
 * <p>
 * Changes run one at a time: the next one starts only when the previous one and an entry
 * of the leader's own term are committed. A replica joins as a learner and becomes a
 * voter only after it has caught up and while it responds, and the former replica of a VM
 * is removed before the new one becomes a voter. Not thread safe.
 */
final class MembershipChanges {

	private static final int JOIN_REQUEST_EXPIRY_ELECTION_TIMEOUTS = 4;

	/**
	 * The number of election timeouts without a response after which a voter may be
	 * replaced, provided that a learner has caught up.
	 */
	private static final int UNRESPONSIVE_VOTER_ELECTION_TIMEOUTS = 2;

	/**
	 * The number of election timeouts without a response after which a voter may be
	 * replaced even if the voters are spread worse then. Longer than most partitions.
	 */
	private static final int LOST_VOTER_ELECTION_TIMEOUTS = 8;

	private final LogState state;

	private final Replication replication;

	private final VoterSpread spread = new VoterSpread();

	private final Map<ReplicaId, Long> joinRequestNanos = new TreeMap<>();

	private Set<VmId> wantedVoters = Set.of();

	private int desiredVoterCount = Integer.MAX_VALUE;

	MembershipChanges(LogState state, Replication replication) {
		this.state = state;
		this.replication = replication;
	}

	void setWantedVoters(Set<VmId> vms) {
		this.wantedVoters = Set.copyOf(vms);
	}

	/**
	 * Sets where VMs are. Once it is set, the leader prefers voters in different regions,
	 * then in different data centres.
	 * @param locations the locations by VM; other VMs count as being alone where they are
	 */
	void setLocations(Map<VmId, VmLocation> locations) {
		this.spread.setLocations(locations);
	}

	/**
	 * Sets the number of voters that the group should have. Once it is set, the leader
	 * replaces an unresponsive voter with a learner that has caught up, later if the
	 * voters would be spread worse, and any voter if they would be spread better.
	 * @param count the number of voters
	 */
	void setDesiredVoterCount(int count) {
		this.desiredVoterCount = count;
	}

	void onJoinRequest(ReplicaId joiner) {
		boolean admissible = this.wantedVoters.contains(joiner.vm()) && !this.state.membership().contains(joiner);
		if (admissible && this.state.isLeader()) {
			this.joinRequestNanos.put(joiner, this.state.nowNanos());
		}
	}

	/**
	 * Removes a replica permanently.
	 * @param replica the replica to remove
	 * @return whether the change was started; false if the replica is not a member, if
	 * this replica cannot start a change now, or if no quorum of the remaining voters
	 * responded recently
	 */
	boolean remove(ReplicaId replica) {
		Membership membership = this.state.membership();
		Membership remaining = membership.without(replica);
		if (!canChange() || !membership.contains(replica) || !this.replication.isQuorumResponsive(remaining)) {
			return false;
		}
		appendChange(remaining);
		return true;
	}

	/**
	 * Starts the next membership change if one is due: promotes a learner that has caught
	 * up, removes an excess voter, or admits a replica that asked to join. A former voter
	 * on the VM of the learner, or a former learner on the VM of the joining replica, is
	 * removed first.
	 */
	void flush() {
		if (!this.state.isLeader()) {
			this.joinRequestNanos.clear();
			return;
		}
		removeExpiredJoinRequests();
		if (!canChange()) {
			return;
		}
		Membership membership = this.state.membership();
		Optional<ReplicaId> promotable = membership.learners()
			.stream()
			.filter(this::isReadyForPromotion)
			.filter((learner) -> canPromote(membership, learner))
			.min(Comparator.comparingInt((learner) -> this.spread.crowding(membership.withVoter(learner))));
		if (promotable.isPresent()) {
			promote(membership, promotable.get());
			return;
		}
		if (membership.voters().size() > this.desiredVoterCount && removeExcessVoter(membership)) {
			return;
		}
		if (!this.joinRequestNanos.isEmpty()) {
			admitJoiner(membership, this.joinRequestNanos.keySet().iterator().next());
		}
	}

	private boolean isReadyForPromotion(ReplicaId learner) {
		LogState shared = this.state;
		long timeoutNanos = shared.settings().electionTimeoutNanos();
		Progress progress = this.replication.progressOf(learner);
		boolean isResponsive = shared.nowNanos() - progress.lastResponseNanos() < timeoutNanos;
		return this.wantedVoters.contains(learner.vm()) && isResponsive
				&& progress.isCaughtUp(shared.entries().lastIndex(), shared.nowNanos(), timeoutNanos);
	}

	private boolean canPromote(Membership membership, ReplicaId learner) {
		return membership.voters().size() < this.desiredVoterCount || membership.voterOf(learner.vm()).isPresent()
				|| (membership.voters().size() == this.desiredVoterCount && canReplaceVoter(membership, learner));
	}

	// With a learner beside another voter in place of a voter of a region that was only
	// cut
	// off, the loss of the next region might take a majority.
	private boolean canReplaceVoter(Membership membership, ReplicaId learner) {
		Membership promoted = membership.withVoter(learner);
		int crowding = this.spread.crowding(membership);
		return removableVoters(membership).anyMatch((voter) -> {
			int changed = this.spread.crowding(promoted.without(voter));
			return changed < crowding || isSilentFor(voter, LOST_VOTER_ELECTION_TIMEOUTS)
					|| (changed == crowding && isUnresponsive(voter));
		});
	}

	private Stream<ReplicaId> removableVoters(Membership membership) {
		return membership.voters().stream().filter((voter) -> !voter.equals(this.state.self()));
	}

	private boolean isUnresponsive(ReplicaId voter) {
		return isSilentFor(voter, UNRESPONSIVE_VOTER_ELECTION_TIMEOUTS);
	}

	private boolean isSilentFor(ReplicaId voter, int electionTimeouts) {
		long limitNanos = electionTimeouts * this.state.settings().electionTimeoutNanos();
		return this.state.nowNanos() - this.replication.progressOf(voter).lastResponseNanos() > limitNanos;
	}

	// An unresponsive voter that returns while a learner is being promoted in its place
	// leaves one voter too many.
	private boolean removeExcessVoter(Membership membership) {
		return removableVoters(membership)
			.min(Comparator.comparing((ReplicaId voter) -> !isSilentFor(voter, LOST_VOTER_ELECTION_TIMEOUTS))
				.thenComparingInt((voter) -> this.spread.crowding(membership.without(voter)))
				.thenComparing((voter) -> !isUnresponsive(voter))
				.thenComparing(Comparator.reverseOrder()))
			.map(this::remove)
			.orElse(false);
	}

	private void promote(Membership membership, ReplicaId learner) {
		Optional<ReplicaId> former = membership.voterOf(learner.vm());
		if (former.isPresent()) {
			appendChange(membership.without(former.get()));
			return;
		}
		appendChange(membership.withVoter(learner));
	}

	private void admitJoiner(Membership membership, ReplicaId joiner) {
		this.joinRequestNanos.remove(joiner);
		if (membership.contains(joiner)) {
			return;
		}
		Optional<ReplicaId> former = membership.learners()
			.stream()
			.filter((learner) -> learner.vm().equals(joiner.vm()))
			.findFirst();
		if (former.isPresent()) {
			appendChange(membership.without(former.get()));
			return;
		}
		appendChange(membership.withLearner(joiner));
	}

	private void removeExpiredJoinRequests() {
		long limitNanos = JOIN_REQUEST_EXPIRY_ELECTION_TIMEOUTS * this.state.settings().electionTimeoutNanos();
		long now = this.state.nowNanos();
		this.joinRequestNanos.values().removeIf((requestedNanos) -> now - requestedNanos > limitNanos);
	}

	private boolean canChange() {
		return this.state.isLeader() && this.state.isMembershipCommitted() && this.replication.hasCommittedInTerm();
	}

	private void appendChange(Membership changed) {
		this.replication.append(new EntryBody.MembershipChange(changed));
		this.replication.onMembershipChanged();
		this.replication.advanceCommit();
	}

}
