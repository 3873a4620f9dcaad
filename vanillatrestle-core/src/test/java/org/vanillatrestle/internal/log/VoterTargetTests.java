package org.vanillatrestle.internal.log;

import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class VoterTargetTests {

	private static final int TARGET = 3;

	private static final long ELECTION_TIMEOUT_MILLIS = 300;

	@Test
	void shouldKeepFurtherReplicasAsLearners() {
		SimulatedGroup group = group(4);
		group.commit(1);
		group.runFor(2_000);
		Membership membership = membership(group);
		assertThat(membership.voters()).hasSize(TARGET);
		assertThat(membership.learners()).hasSize(1);
	}

	@Test
	void shouldReplaceASilentVoterByTheLearner() {
		SimulatedGroup group = group(4);
		SimulatedReplica lost = voterThatFollows(group);
		group.cut(lost);
		assertThat(group.runUntil((any) -> any.leader().isPresent() && !membership(any).isVoter(lost.id()))).isTrue();
		assertThat(group.runUntil((any) -> any.leader().isPresent() && membership(any).voters().size() == TARGET))
			.isTrue();
		group.commit(1);
	}

	@Test
	void shouldTakeBackAReplacedVoterAsLearner() {
		SimulatedGroup group = group(4);
		SimulatedReplica lost = voterThatFollows(group);
		group.cut(lost);
		group.runUntil((any) -> any.leader().isPresent() && !membership(any).isVoter(lost.id()));
		group.heal();
		assertThat(group.runUntil((any) -> any.leader().isPresent() && membership(any).isLearner(lost.id()))).isTrue();
		assertThat(membership(group).voters()).hasSize(TARGET);
	}

	@Test
	void shouldNotRemoveASilentVoterWithoutAnotherReplicaThatStandsReady() {
		SimulatedGroup group = group(3);
		SimulatedReplica lost = voterThatFollows(group);
		group.cut(lost);
		group.runFor(5_000);
		assertThat(membership(group).isVoter(lost.id())).isTrue();
	}

	@Test
	void shouldElectALeaderWithinOneElectionTimeoutWhenAllWereRestarted() {
		SimulatedGroup group = group(3);
		group.commit(1);
		group.replicas().forEach((replica) -> replica.crash(0));
		group.restartStopped();
		group.runFor(ELECTION_TIMEOUT_MILLIS);
		assertThat(group.leader()).isPresent();
	}

	/**
	 * A voter that came back while the learner took its place left four voters for good.
	 */
	@Test
	void shouldGoBackToTheTargetWhenASilentVoterReturnsInTheMiddle() {
		shouldLoseNothingWhileReplicasAreCutAndWiped(6, 4);
	}

	@Property(tries = 60)
	void shouldLoseNothingWhileReplicasAreCutAndWiped(@ForAll long seed, @ForAll @IntRange(min = 4, max = 5) int size) {
		SimulatedGroup group = group(size);
		Random random = new Random(seed);
		for (int round = 0; round < 4; round++) {
			SimulatedReplica victim = group.replica(random.nextInt(size));
			if (random.nextBoolean()) {
				group.cut(victim);
			}
			else {
				victim.crash(0);
			}
			group.runFor(random.nextInt(1_500));
			group.commit(1);
			group.heal();
			group.restartStopped();
			assertThat(group.runUntil(VoterTargetTests::isWhole)).as("seed %s round %s", seed, round).isTrue();
			if (random.nextBoolean()) {
				SimulatedReplica wiped = group.replica(random.nextInt(size));
				group.loseDisk(wiped);
				group.restartStopped();
				assertThat(group.runUntil(VoterTargetTests::isWhole)).as("seed %s wiped", seed).isTrue();
			}
		}
		group.commit(1);
		group.runFor(2_000);
		List<String> expected = group.oracle().commandsUpTo(group.oracle().lastCommitted());
		assertThat(group.replicas()).allSatisfy((replica) -> assertThat(replica.applied()).isEqualTo(expected));
	}

	private static boolean isWhole(SimulatedGroup group) {
		if (group.leader().isEmpty()) {
			return false;
		}
		Membership membership = membership(group);
		boolean committed = group.status(group.leader().get()).membershipCommitted();
		boolean votersUp = membership.voters()
			.stream()
			.allMatch((voter) -> group.replicas().stream().anyMatch((replica) -> replica.id().equals(voter)));
		return committed && votersUp && membership.voters().size() == TARGET
				&& group.replicas().stream().allMatch((replica) -> membership.contains(replica.id()));
	}

	private static SimulatedGroup group(int size) {
		SimulatedGroup group = new SimulatedGroup(size);
		group.replicas().forEach((replica) -> replica.setVoterTarget(TARGET));
		assertThat(group.runUntil(VoterTargetTests::isWhole)).as("the group has formed").isTrue();
		return group;
	}

	private static Membership membership(SimulatedGroup group) {
		return group.status(group.leader().orElseThrow()).membership();
	}

	private static SimulatedReplica voterThatFollows(SimulatedGroup group) {
		SimulatedReplica leader = group.leader().orElseThrow();
		return group.replicas()
			.stream()
			.filter((replica) -> replica != leader && membership(group).isVoter(replica.id()))
			.findFirst()
			.orElseThrow();
	}

}
