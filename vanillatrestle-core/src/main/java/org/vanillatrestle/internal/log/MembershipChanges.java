package org.vanillatrestle.internal.log;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.vanillatrestle.VmId;

/**
 * The leader's changes of the membership.
 * <p>
 * One at a time: the next begins only when the last is committed and an entry of the
 * leader's own term is too. A replica becomes a voter only as a learner that caught up,
 * and a VM's former replica is removed before its new one votes. Not thread safe.
 */
final class MembershipChanges {

	private static final int JOINER_TIMEOUTS = 4;

	/**
	 * After how many election timeouts a silent voter is replaced, where another replica
	 * stands ready.
	 */
	private static final int SILENT_VOTER_TIMEOUTS = 2;

	private final LogState state;

	private final Replication replication;

	private final Map<ReplicaId, Long> joinersHeardNanos = new TreeMap<>();

	private Set<VmId> wantedVoters = Set.of();

	private int voterTarget = Integer.MAX_VALUE;

	MembershipChanges(LogState state, Replication replication) {
		this.state = state;
		this.replication = replication;
	}

	void want(Set<VmId> vms) {
		this.wantedVoters = Set.copyOf(vms);
	}

	/**
	 * Sets how many voters the group should have. With a target the leader replaces a
	 * silent voter by a learner that has caught up.
	 * @param count the number
	 */
	void setVoterTarget(int count) {
		this.voterTarget = count;
	}

	void onJoin(ReplicaId joiner) {
		boolean useful = this.wantedVoters.contains(joiner.vm()) && !this.state.membership().contains(joiner);
		if (useful && this.state.isLeader()) {
			this.joinersHeardNanos.put(joiner, this.state.nowNanos());
		}
	}

	/**
	 * Removes a replica for good.
	 * @param replica the replica
	 * @return whether the change was begun; not while another one runs or without a
	 * quorum of the replicas that remain
	 */
	boolean remove(ReplicaId replica) {
		Membership membership = this.state.membership();
		Membership remaining = membership.without(replica);
		if (!mayChange() || !membership.contains(replica) || !this.replication.isQuorumHeard(remaining)) {
			return false;
		}
		change(remaining);
		return true;
	}

	/**
	 * Takes the next step for learners and joiners, if any.
	 */
	void flush() {
		if (!this.state.isLeader()) {
			this.joinersHeardNanos.clear();
			return;
		}
		forgetSilentJoiners();
		if (!mayChange()) {
			return;
		}
		Membership membership = this.state.membership();
		Optional<ReplicaId> ready = membership.learners().stream().filter(this::isReady).findFirst();
		if (ready.isPresent() && mayPromote(membership, ready.get())) {
			promote(membership, ready.get());
			return;
		}
		if (membership.voters().size() > this.voterTarget && removeExcessVoter(membership)) {
			return;
		}
		if (!this.joinersHeardNanos.isEmpty()) {
			admit(membership, this.joinersHeardNanos.keySet().iterator().next());
		}
	}

	private boolean isReady(ReplicaId learner) {
		LogState shared = this.state;
		return this.wantedVoters.contains(learner.vm()) && this.replication.progressOf(learner)
			.isCaughtUp(shared.entries().lastIndex(), shared.nowNanos(), shared.settings().electionTimeoutNanos());
	}

	private boolean mayPromote(Membership membership, ReplicaId learner) {
		return membership.voters().size() < this.voterTarget || membership.voterOf(learner.vm()).isPresent()
				|| (membership.voters().size() == this.voterTarget && silentVoter(membership).isPresent());
	}

	private Optional<ReplicaId> silentVoter(Membership membership) {
		long limit = SILENT_VOTER_TIMEOUTS * this.state.settings().electionTimeoutNanos();
		long now = this.state.nowNanos();
		return membership.voters()
			.stream()
			.filter((voter) -> !voter.equals(this.state.self()))
			.filter((voter) -> now - this.replication.progressOf(voter).heardNanos() > limit)
			.findFirst();
	}

	// a voter that came back before it was replaced leaves one voter too many
	private boolean removeExcessVoter(Membership membership) {
		Optional<ReplicaId> excess = silentVoter(membership).or(() -> membership.voters()
			.stream()
			.filter((voter) -> !voter.equals(this.state.self()))
			.reduce((earlier, later) -> later));
		return excess.map(this::remove).orElse(false);
	}

	private void promote(Membership membership, ReplicaId learner) {
		Optional<ReplicaId> former = membership.voterOf(learner.vm());
		if (former.isPresent()) {
			change(membership.without(former.get()));
			return;
		}
		change(membership.withVoter(learner));
	}

	private void admit(Membership membership, ReplicaId joiner) {
		this.joinersHeardNanos.remove(joiner);
		if (membership.contains(joiner)) {
			return;
		}
		Optional<ReplicaId> former = membership.learners()
			.stream()
			.filter((learner) -> learner.vm().equals(joiner.vm()))
			.findFirst();
		if (former.isPresent()) {
			change(membership.without(former.get()));
			return;
		}
		change(membership.withLearner(joiner));
	}

	private void forgetSilentJoiners() {
		long limit = JOINER_TIMEOUTS * this.state.settings().electionTimeoutNanos();
		long now = this.state.nowNanos();
		this.joinersHeardNanos.values().removeIf((heard) -> now - heard > limit);
	}

	private boolean mayChange() {
		return this.state.isLeader() && this.state.isMembershipCommitted() && this.replication.hasCommittedInTerm();
	}

	private void change(Membership changed) {
		this.replication.append(new EntryBody.MembershipChange(changed));
		this.replication.membershipChanged();
		this.replication.advanceCommit();
	}

}
