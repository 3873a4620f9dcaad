package org.vanillatrestle.internal.log;

import java.util.Collection;
import java.util.Collections;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;

import org.vanillatrestle.VmId;

/**
 * The replicas of a group. Voters count for commits and elections; learners only receive
 * entries. No replica is both.
 * <p>
 * Immutable and thread safe.
 *
 * @param group the id of the group
 * @param voters the replicas that vote
 * @param learners the replicas that receive entries and do not vote
 */
public record Membership(GroupId group, SortedSet<ReplicaId> voters, SortedSet<ReplicaId> learners) {

	/**
	 * The membership known to a replica that has not joined a group yet.
	 */
	public static final Membership NONE = new Membership(GroupId.NONE, new TreeSet<>(), new TreeSet<>());

	public Membership {
		voters = Collections.unmodifiableSortedSet(new TreeSet<>(voters));
		learners = Collections.unmodifiableSortedSet(new TreeSet<>(learners));
		if (!Collections.disjoint(voters, learners)) {
			throw new IllegalArgumentException("a replica cannot be both voter and learner");
		}
	}

	/**
	 * The membership of a new group.
	 * @param group the id of the new group
	 * @param founder its only voter
	 * @return a membership with one voter and no learners
	 */
	public static Membership ofFounder(GroupId group, ReplicaId founder) {
		return new Membership(group, new TreeSet<>(Collections.singleton(founder)), new TreeSet<>());
	}

	public boolean isVoter(ReplicaId replica) {
		return this.voters.contains(replica);
	}

	public boolean isLearner(ReplicaId replica) {
		return this.learners.contains(replica);
	}

	public boolean contains(ReplicaId replica) {
		return isVoter(replica) || isLearner(replica);
	}

	/**
	 * All voters and learners.
	 * @return all replicas in ascending order
	 */
	public SortedSet<ReplicaId> members() {
		SortedSet<ReplicaId> members = new TreeSet<>(this.voters);
		members.addAll(this.learners);
		return members;
	}

	/**
	 * Whether the given replicas include a majority of the voters.
	 * @param replicas the replicas to count; those that are not voters are ignored
	 * @return true if they include a majority
	 */
	public boolean isQuorum(Collection<ReplicaId> replicas) {
		long agreeing = this.voters.stream().filter(replicas::contains).count();
		return agreeing >= quorumSize();
	}

	public int quorumSize() {
		return this.voters.size() / 2 + 1;
	}

	/**
	 * Finds the voter on a VM.
	 * @param vm the VM
	 * @return the voter on that VM, if there is one
	 */
	public Optional<ReplicaId> voterOf(VmId vm) {
		return this.voters.stream().filter((voter) -> voter.vm().equals(vm)).findFirst();
	}

	Membership withLearner(ReplicaId replica) {
		SortedSet<ReplicaId> changed = new TreeSet<>(this.learners);
		changed.add(replica);
		return new Membership(this.group, this.voters, changed);
	}

	Membership withVoter(ReplicaId replica) {
		SortedSet<ReplicaId> changedLearners = new TreeSet<>(this.learners);
		changedLearners.remove(replica);
		SortedSet<ReplicaId> changedVoters = new TreeSet<>(this.voters);
		changedVoters.add(replica);
		return new Membership(this.group, changedVoters, changedLearners);
	}

	Membership without(ReplicaId replica) {
		SortedSet<ReplicaId> changedLearners = new TreeSet<>(this.learners);
		changedLearners.remove(replica);
		SortedSet<ReplicaId> changedVoters = new TreeSet<>(this.voters);
		changedVoters.remove(replica);
		return new Membership(this.group, changedVoters, changedLearners);
	}

}
