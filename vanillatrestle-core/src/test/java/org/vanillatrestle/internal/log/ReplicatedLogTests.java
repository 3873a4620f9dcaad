package org.vanillatrestle.internal.log;

import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanillatrestle.VmId;

import static org.assertj.core.api.Assertions.assertThat;

class ReplicatedLogTests {

	@ParameterizedTest
	@ValueSource(ints = { 1, 3, 5 })
	void shouldFormGroupAndCommit(int size) {
		SimulatedGroup group = new SimulatedGroup(size);
		assertThat(group.runUntil((g) -> g.hasVoters(size))).isTrue();
		group.commit(100);
		group.checkRecovery(size);
		assertThat(group.status(group.leader().orElseThrow()).snapshotIndex()).isPositive();
	}

	@ParameterizedTest
	@ValueSource(ints = { 3, 5 })
	void shouldElectAnotherLeaderWhenOneDies(int size) {
		SimulatedGroup group = formed(size);
		SimulatedReplica first = group.leader().orElseThrow();
		first.crash(0);
		group.commit(3);
		assertThat(group.leader()).get().isNotSameAs(first);
		group.checkRecovery(size);
	}

	@Test
	void shouldStepDownWithoutQuorumAndSaySince() {
		SimulatedGroup group = formed(3);
		SimulatedReplica old = group.leader().orElseThrow();
		group.cut(old);
		group.runFor(3_600_000);
		LogStatus status = group.status(old);
		assertThat(status.role()).isNotEqualTo(Role.LEADER);
		assertThat(status.leaderlessNanos()).isGreaterThan(3_500_000 * SimulatedGroup.MILLIS);
		assertThat(old.log().propose(new byte[1], 0)).isInstanceOf(Proposal.Refused.class);
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void shouldElectAnotherLeaderWhenItsLinkIsCutOneWay(boolean muted) {
		SimulatedGroup group = formed(3);
		SimulatedReplica old = group.leader().orElseThrow();
		if (muted) {
			group.mute(old);
		}
		else {
			group.deafen(old);
		}
		group.runFor(3000);
		assertThat(group.status(old).role()).isNotEqualTo(Role.LEADER);
		group.commit(3);
		group.checkRecovery(3);
	}

	@Test
	void shouldNotDisturbLeaderAfterLongIsolation() {
		SimulatedGroup group = formed(3);
		SimulatedReplica follower = follower(group);
		group.cut(follower);
		group.runFor(3_600_000);
		long term = group.status(group.leader().orElseThrow()).term();
		group.commit(60);
		group.heal();
		group.runFor(5000);
		assertThat(group.status(group.leader().orElseThrow()).term()).isEqualTo(term);
		group.checkRecovery(3);
	}

	@Test
	void shouldAskToJoinAgainWhenItsAdmissionWasCutOff() {
		SimulatedGroup group = formed(5);
		SimulatedReplica leader = group.leader().orElseThrow();
		SimulatedReplica lost = follower(group);
		group.loseDisk(lost);
		group.replicas().stream().filter((r) -> r != leader && r != lost).forEach(group::cut);
		group.start(lost);
		group.runUntil((g) -> g.status(lost).membership().isLearner(lost.id()));
		assertThat(group.status(lost).membershipCommitted()).isFalse();
		group.heal();
		group.cut(leader);
		group.runFor(2000);
		group.commit(1);
		group.checkRecovery(5);
	}

	@Test
	void shouldNotVoteWithEmptiedStorage() {
		SimulatedGroup group = formed(3);
		SimulatedReplica lost = follower(group);
		ReplicaId former = lost.id();
		ReplicaId candidate = group.leader().orElseThrow().id();
		group.loseDisk(lost);
		group.start(lost);
		LogMessage request = new LogMessage.VoteRequest(1000, 1000, 1000, false, true);
		lost.log().receive(new LogEnvelope(new GroupId("group"), candidate, former, request), 0);
		lost.log().receive(new LogEnvelope(new GroupId("group"), candidate, lost.id(), request), 0);
		lost.log().synced(lost.log().takeOutputs().writeNumber(), 0);
		assertThat(lost.log().takeOutputs().messages()).extracting(LogEnvelope::message)
			.containsExactly(new LogMessage.VoteResponse(1000, false, false, false));
	}

	@Test
	void shouldLoseNothingWhenSecondReplicaIsLostAfterRepair() {
		SimulatedGroup group = formed(3);
		for (int i = 0; i < 6; i++) {
			SimulatedReplica lost = group.replica(i);
			group.commit(30);
			group.loseDisk(lost);
			group.start(lost);
			assertThat(group.runUntil((g) -> g.hasVoters(3))).as("repair %s", i).isTrue();
		}
		group.checkRecovery(3);
	}

	@Test
	void shouldRemoveReplicaAndItself() {
		SimulatedGroup group = formed(3);
		SimulatedReplica follower = follower(group);
		SimulatedReplica leader = group.leader().orElseThrow();
		follower.crash(0);
		assertThat(leader.log().remove(follower.id(), 0)).isTrue();
		assertThat(leader.log().remove(leader.id(), 0)).as("one change at a time").isFalse();
		group.runFor(100);
		assertThat(leader.log().remove(leader.id(), 0)).isTrue();
		group.cut(leader);
		group.runFor(20);
		group.heal();
		assertThat(group.runUntil((g) -> g.leader().filter((l) -> l != leader).isPresent())).isTrue();
	}

	@Test
	void shouldStepDownOnFailedSyncWithoutAcknowledging() {
		SimulatedGroup group = formed(1);
		SimulatedReplica only = group.replica(0);
		int before = group.oracle().acknowledgedCount();
		only.failNextSync();
		group.propose();
		group.runFor(5000);
		assertThat(group.status(only).role()).isEqualTo(Role.FAILED);
		assertThat(group.status(only).failure()).contains("no space left");
		assertThat(group.oracle().acknowledgedCount()).isEqualTo(before);
		group.checkRecovery(1);
	}

	@Test
	void shouldNotCommitOlderTermByCounting() {
		ReplicaId self = new ReplicaId(new VmId("vm-1"), new StorageId("s0"));
		ReplicaId second = new ReplicaId(new VmId("vm-2"), new StorageId("s1"));
		ReplicaId third = new ReplicaId(new VmId("vm-3"), new StorageId("s2"));
		GroupId id = new GroupId("group");
		Membership membership = new Membership(id, new TreeSet<>(List.of(self, second, third)), new TreeSet<>());
		List<LogEntry> entries = List.of(new LogEntry(1, 1, new EntryBody.NoOp()),
				new LogEntry(2, 2, new EntryBody.NoOp()));
		RecoveredState recovered = new RecoveredState(new Vote(3, Optional.empty()), Snapshot.initial(membership),
				entries);
		ReplicatedLog log = new ReplicatedLog(self, LogSettings.defaults(), recovered,
				RandomSource.SPLIT_MIX_64.create(1L), 0);
		log.tick(10_000 * SimulatedGroup.MILLIS);
		log.receive(new LogEnvelope(id, second, self, new LogMessage.VoteResponse(4, true, true, true)), 0);
		log.synced(log.takeOutputs().writeNumber(), 0);
		log.receive(new LogEnvelope(id, second, self, new LogMessage.VoteResponse(4, true, false, true)), 0);
		log.synced(log.takeOutputs().writeNumber(), 0);
		log.receive(new LogEnvelope(id, second, self, new LogMessage.AppendResponse(4, true, 2, 0, 0)), 0);
		assertThat(log.status(0).role()).isEqualTo(Role.LEADER);
		assertThat(log.status(0).commitIndex()).isZero();
		log.receive(new LogEnvelope(id, second, self, new LogMessage.AppendResponse(4, true, 3, 0, 0)), 0);
		assertThat(log.status(0).commitIndex()).isEqualTo(3);
	}

	@Test
	void shouldConfirmReadOnlyWithQuorum() {
		SimulatedGroup group = formed(3);
		SimulatedReplica leader = group.leader().orElseThrow();
		long commit = group.status(leader).commitIndex();
		long ticket = leader.log().requestRead(0);
		Outputs asked = leader.log().takeOutputs();
		assertThat(asked.reads()).isEmpty();
		assertThat(asked.messages()).hasSize(2);
		LogMessage.AppendRequest request = (LogMessage.AppendRequest) asked.messages().get(0).message();
		LogMessage answer = new LogMessage.AppendResponse(request.term(), true, request.previousIndex(), 0,
				request.round());
		leader.log()
			.receive(new LogEnvelope(new GroupId("group"), asked.messages().get(0).to(), leader.id(), answer), 0);
		assertThat(leader.log().takeOutputs().reads()).containsExactly(new ReadResult(ticket, true, commit));
	}

	@Test
	void shouldHandOverWithoutWaitingForTimeout() {
		SimulatedGroup group = formed(3);
		SimulatedReplica old = group.leader().orElseThrow();
		assertThat(old.log().handOver(0)).isTrue();
		group.runFor(50);
		assertThat(group.leader()).get().isNotSameAs(old);
		group.checkRecovery(3);
	}

	@Test
	void shouldDropMessagesOfAnotherGroup() {
		SimulatedGroup group = formed(1);
		SimulatedReplica only = group.replica(0);
		LogMessage request = new LogMessage.AppendRequest(1000, 0, 0, List.of(), 0, 0);
		ReplicaId stranger = group.replica(0).id();
		only.log().receive(new LogEnvelope(new GroupId("other"), stranger, only.id(), request), 0);
		assertThat(group.status(only).term()).isLessThan(1000);
	}

	private static SimulatedReplica follower(SimulatedGroup group) {
		SimulatedReplica leader = group.leader().orElseThrow();
		return group.replicas().stream().filter((replica) -> replica != leader).findFirst().orElseThrow();
	}

	private static SimulatedGroup formed(int size) {
		SimulatedGroup group = new SimulatedGroup(size);
		assertThat(group.runUntil((g) -> g.hasVoters(size))).isTrue();
		group.commit(2);
		return group;
	}

}
