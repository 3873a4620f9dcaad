package org.vanillatrestle.internal.log;

import java.util.List;
import java.util.Optional;
import java.util.Set;
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

	@Test
	void shouldAskNewlyKnownVmToJoinWithoutDelay() {
		ReplicaId self = new ReplicaId(new VmId("vm-1"), new StorageId("s"));
		ReplicatedLog log = new ReplicatedLog(self, LogSettings.defaults(), RecoveredState.initial(Membership.NONE),
				RandomSource.SPLIT_MIX_64.create(1L), 0);
		log.tick(1);
		log.setWantedVoters(Set.of(new VmId("vm-2")));
		log.tick(2);
		assertThat(log.takeOutputs().messages()).extracting(LogEnvelope::message)
			.containsExactly(new LogMessage.JoinRequest(0));
	}

	@ParameterizedTest
	@ValueSource(ints = { 3, 5 })
	void shouldElectAnotherLeaderWhenLeaderCrashes(int size) {
		SimulatedGroup group = formedGroup(size);
		SimulatedReplica firstLeader = group.leader().orElseThrow();
		firstLeader.crash(0);
		group.commit(3);
		assertThat(group.leader()).get().isNotSameAs(firstLeader);
		group.checkRecovery(size);
	}

	@Test
	void shouldStepDownWithoutQuorumAndReportLeaderlessTime() {
		SimulatedGroup group = formedGroup(3);
		SimulatedReplica oldLeader = group.leader().orElseThrow();
		group.isolate(oldLeader);
		group.runFor(3_600_000);
		LogStatus status = group.status(oldLeader);
		assertThat(status.role()).isNotEqualTo(Role.LEADER);
		assertThat(status.leaderlessNanos()).isGreaterThan(3_500_000 * SimulatedGroup.MILLIS);
		assertThat(oldLeader.log().propose(new byte[1], 0)).isInstanceOf(Proposal.Refused.class);
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void shouldElectAnotherLeaderWhenLeaderLosesOneDirectionOfItsLinks(boolean outgoing) {
		SimulatedGroup group = formedGroup(3);
		SimulatedReplica oldLeader = group.leader().orElseThrow();
		if (outgoing) {
			group.blockSending(oldLeader);
		}
		else {
			group.blockReceiving(oldLeader);
		}
		group.runFor(3000);
		assertThat(group.status(oldLeader).role()).isNotEqualTo(Role.LEADER);
		group.commit(3);
		group.checkRecovery(3);
	}

	@Test
	void shouldNotDisruptLeaderAfterLongIsolation() {
		SimulatedGroup group = formedGroup(3);
		SimulatedReplica follower = follower(group);
		group.isolate(follower);
		group.runFor(3_600_000);
		long term = group.status(group.leader().orElseThrow()).term();
		group.commit(60);
		group.reconnectAll();
		group.runFor(5000);
		assertThat(group.status(group.leader().orElseThrow()).term()).isEqualTo(term);
		group.checkRecovery(3);
	}

	// A snapshot in many chunks must not start over with each newer snapshot.
	@Test
	void shouldCatchUpByItsSnapshotWhileChangesGoOn() {
		SimulatedGroup group = formedGroup(3);
		SimulatedReplica follower = follower(group);
		group.isolate(follower);
		group.commit(100);
		long behindIndex = group.status(follower).appliedIndex();
		group.reconnectAll();
		boolean caughtUp = false;
		for (int i = 0; i < 400 && !caughtUp; i++) {
			group.propose();
			group.runFor(40);
			caughtUp = group.status(group.leader().orElseThrow()).appliedIndex()
					- group.status(follower).appliedIndex() < 5;
		}
		assertThat(caughtUp).isTrue();
		assertThat(group.status(follower).snapshotIndex()).as("took a snapshot").isGreaterThan(behindIndex);
	}

	@Test
	void shouldAskToJoinAgainWhenItsAdmissionWasTruncated() {
		SimulatedGroup group = formedGroup(5);
		SimulatedReplica leader = group.leader().orElseThrow();
		SimulatedReplica lost = follower(group);
		group.loseDisk(lost);
		group.replicas().stream().filter((r) -> r != leader && r != lost).forEach(group::isolate);
		group.start(lost);
		group.runUntil((g) -> g.status(lost).membership().isLearner(lost.id()));
		assertThat(group.status(lost).membershipCommitted()).isFalse();
		group.reconnectAll();
		group.isolate(leader);
		group.runFor(2000);
		group.commit(1);
		group.checkRecovery(5);
	}

	@Test
	void shouldNotVoteAfterStorageWasEmptied() {
		SimulatedGroup group = formedGroup(3);
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
	void shouldKeepEntriesWhenReplicasLoseTheirDisksOneAfterAnother() {
		SimulatedGroup group = formedGroup(3);
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
	void shouldRemoveCrashedReplicaThenLeaderItself() {
		SimulatedGroup group = formedGroup(3);
		SimulatedReplica follower = follower(group);
		SimulatedReplica leader = group.leader().orElseThrow();
		follower.crash(0);
		assertThat(leader.log().remove(follower.id(), 0)).isTrue();
		assertThat(leader.log().remove(leader.id(), 0)).as("one change at a time").isFalse();
		group.runFor(100);
		assertThat(leader.log().remove(leader.id(), 0)).isTrue();
		group.isolate(leader);
		group.runFor(20);
		group.reconnectAll();
		assertThat(group.runUntil((g) -> g.leader().filter((l) -> l != leader).isPresent())).isTrue();
	}

	@Test
	void shouldStopOnFailedSyncWithoutAcknowledging() {
		SimulatedGroup group = formedGroup(1);
		SimulatedReplica only = group.replica(0);
		int before = group.oracle().acknowledgedCount();
		only.failSyncs();
		group.propose();
		group.runFor(5000);
		assertThat(group.status(only).role()).isEqualTo(Role.FAILED);
		assertThat(group.status(only).failure()).contains("no space left");
		assertThat(group.oracle().acknowledgedCount()).isEqualTo(before);
		group.checkRecovery(1);
	}

	@Test
	void shouldNotCommitEntriesOfOlderTermByCountingReplicas() {
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
	void shouldConfirmReadOnlyAfterQuorumResponds() {
		SimulatedGroup group = formedGroup(3);
		SimulatedReplica leader = group.leader().orElseThrow();
		long commit = group.status(leader).commitIndex();
		long ticket = leader.log().requestRead(0);
		Outputs outputs = leader.log().takeOutputs();
		assertThat(outputs.reads()).isEmpty();
		assertThat(outputs.messages()).hasSize(2);
		LogMessage.AppendRequest request = (LogMessage.AppendRequest) outputs.messages().get(0).message();
		LogMessage response = new LogMessage.AppendResponse(request.term(), true, request.previousIndex(), 0,
				request.readRound());
		leader.log()
			.receive(new LogEnvelope(new GroupId("group"), outputs.messages().get(0).to(), leader.id(), response), 0);
		assertThat(leader.log().takeOutputs().reads()).containsExactly(new ReadResult(ticket, true, commit));
	}

	@Test
	void shouldHandOverBeforeElectionTimeout() {
		SimulatedGroup group = formedGroup(3);
		SimulatedReplica oldLeader = group.leader().orElseThrow();
		assertThat(oldLeader.log().handOver(0)).isTrue();
		group.runFor(50);
		assertThat(group.leader()).get().isNotSameAs(oldLeader);
		group.checkRecovery(3);
	}

	@Test
	void shouldDropMessagesOfAnotherGroup() {
		SimulatedGroup group = formedGroup(1);
		SimulatedReplica only = group.replica(0);
		LogMessage request = new LogMessage.AppendRequest(1000, 0, 0, List.of(), 0, 0);
		ReplicaId foreignSender = group.replica(0).id();
		only.log().receive(new LogEnvelope(new GroupId("other"), foreignSender, only.id(), request), 0);
		assertThat(group.status(only).term()).isLessThan(1000);
	}

	private static SimulatedReplica follower(SimulatedGroup group) {
		SimulatedReplica leader = group.leader().orElseThrow();
		return group.replicas().stream().filter((replica) -> replica != leader).findFirst().orElseThrow();
	}

	private static SimulatedGroup formedGroup(int size) {
		SimulatedGroup group = new SimulatedGroup(size);
		assertThat(group.runUntil((g) -> g.hasVoters(size))).isTrue();
		group.commit(2);
		return group;
	}

}
