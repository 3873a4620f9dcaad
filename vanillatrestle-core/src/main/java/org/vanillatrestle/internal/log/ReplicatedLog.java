package org.vanillatrestle.internal.log;

import java.util.Collection;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;
import org.vanillatrestle.VmId;

/**
 * One replica of a replicated log that follows the Raft algorithm, with pre-vote,
 * check-quorum, snapshots, learners and one membership change at a time.
 * <p>
 * Deterministic: the state changes only when the owner calls a method. The owner passes
 * in the monotonic time, received messages and completed writes, and after one or more
 * calls executes the result of {@link #takeOutputs()}.
 * <p>
 * Each term has at most one leader. An entry that was reported as committed is never lost
 * and never changes its index as long as a majority of the voters keep their disks. A
 * vote or an acknowledgement is sent to another replica only after the data behind it is
 * on disk. Not thread safe.
 */
public final class ReplicatedLog {

	private final LogState state;

	private final Election election;

	private final Replication replication;

	private final EntryReceiver entryReceiver;

	private final SnapshotReceiver snapshotReceiver;

	private final MembershipChanges membershipChanges;

	private final PendingReads pendingReads;

	private Set<VmId> wantedVoters = Set.of();

	private long lastJoinRequestNanos;

	private boolean handingOver;

	private long handoverStartNanos;

	/**
	 * Starts a replica from the state recovered from its disk.
	 * @param self the id of this replica, with the storage id of the disk
	 * @param settings the timeouts and size limits
	 * @param recovered the state read from the disk
	 * @param random randomises the election timeouts so that replicas rarely become
	 * candidates at the same time
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public ReplicatedLog(ReplicaId self, LogSettings settings, RecoveredState recovered, UniformRandomProvider random,
			long nowNanos) {
		this.state = new LogState(self, settings, recovered, random, nowNanos);
		this.election = new Election(this.state);
		this.replication = new Replication(this.state);
		this.entryReceiver = new EntryReceiver(this.state);
		this.snapshotReceiver = new SnapshotReceiver(this.state);
		this.membershipChanges = new MembershipChanges(this.state, this.replication);
		this.pendingReads = new PendingReads(this.state, this.replication);
		this.lastJoinRequestNanos = nowNanos - settings.electionTimeoutNanos();
	}

	/**
	 * Sets the VMs whose replicas may become voters. A leader admits the replicas of
	 * these VMs when they ask to join; a replica outside the group sends its join
	 * requests to these VMs, without delay when they change.
	 * @param vms the wanted VMs; a voter on any other VM stays until it is removed
	 * explicitly or as an unresponsive or excess voter, see {@link #setDesiredVoterCount}
	 */
	public void setWantedVoters(Set<VmId> vms) {
		if (!vms.equals(this.wantedVoters)) {
			this.lastJoinRequestNanos = this.state.nowNanos() - this.state.settings().electionTimeoutNanos();
		}
		this.wantedVoters = Set.copyOf(vms);
		this.membershipChanges.setWantedVoters(vms);
	}

	/**
	 * Sets the VMs whose replicas may become voters, and where they are, so that the
	 * voters are spread over regions and data centres.
	 * @param vms the locations of the wanted VMs
	 */
	public void setWantedVoters(Map<VmId, VmLocation> vms) {
		setWantedVoters(vms.keySet());
		this.membershipChanges.setLocations(vms);
	}

	/**
	 * Sets the number of voters that the group should have. The leader keeps additional
	 * replicas as learners and replaces unresponsive voters with them. If no number is
	 * set, the replica of every wanted VM becomes a voter and no voter is removed for
	 * being unresponsive.
	 * @param count the number of voters
	 */
	public void setDesiredVoterCount(int count) {
		this.membershipChanges.setDesiredVoterCount(count);
	}

	/**
	 * Advances the time and runs what is due: heartbeats, elections and join requests.
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void tick(long nowNanos) {
		this.state.advanceTime(nowNanos);
		switch (this.state.role()) {
			case FAILED -> {
			}
			case LEADER -> {
				this.replication.tick();
				endExpiredHandover();
			}
			default -> {
				this.election.tick();
				requestToJoin();
			}
		}
	}

	private void requestToJoin() {
		boolean voter = this.state.membership().isVoter(this.state.self());
		boolean notMember = (!voter && !this.state.hasRecentLeader()) || this.state.isRemoved();
		boolean intervalElapsed = this.state.nowNanos() - this.lastJoinRequestNanos >= this.state.settings()
			.electionTimeoutNanos();
		if (!notMember || !intervalElapsed) {
			return;
		}
		this.lastJoinRequestNanos = this.state.nowNanos();
		for (VmId vm : this.wantedVoters) {
			if (!vm.equals(this.state.self().vm())) {
				this.state.send(new ReplicaId(vm, StorageId.ANY), new LogMessage.JoinRequest(0));
			}
		}
	}

	/**
	 * Handles a message from another replica. A message from another group or addressed
	 * to another storage is dropped.
	 * @param envelope the message with its addresses
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void receive(LogEnvelope envelope, long nowNanos) {
		this.state.advanceTime(nowNanos);
		if (this.state.role() == Role.FAILED || !isForThisReplica(envelope)) {
			return;
		}
		ReplicaId from = envelope.from();
		LogMessage message = envelope.message();
		if (message instanceof LogMessage.AppendRequest request) {
			if (acceptLeaderMessage(from, request, request.readRound())) {
				this.entryReceiver.onAppendRequest(from, request);
			}
		}
		else if (message instanceof LogMessage.SnapshotChunk chunk) {
			if (acceptLeaderMessage(from, chunk, chunk.readRound())) {
				this.snapshotReceiver.onChunk(from, chunk);
			}
		}
		else if (message instanceof LogMessage.AppendResponse response) {
			if (acceptResponse(from, response)) {
				this.replication.onAppendResponse(from, response);
			}
		}
		else if (message instanceof LogMessage.SnapshotChunkResponse response) {
			if (acceptResponse(from, response)) {
				this.replication.onChunkResponse(from, response);
			}
		}
		else {
			receiveForElection(from, message);
		}
	}

	private void receiveForElection(ReplicaId from, LogMessage message) {
		if (message instanceof LogMessage.VoteRequest request) {
			this.election.onVoteRequest(from, request);
		}
		else if (message instanceof LogMessage.VoteResponse response) {
			becomeLeaderIf(this.election.onVoteResponse(from, response));
		}
		else if (message instanceof LogMessage.HandoverRequest request) {
			this.election.onHandoverRequest(request);
		}
		else if (message instanceof LogMessage.JoinRequest) {
			this.membershipChanges.onJoinRequest(from);
		}
	}

	private boolean isForThisReplica(LogEnvelope envelope) {
		ReplicaId self = this.state.self();
		boolean addressed = envelope.to().equals(self)
				|| (envelope.to().storage().equals(StorageId.ANY) && envelope.to().vm().equals(self.vm()));
		GroupId group = this.state.membership().group();
		boolean sameGroup = envelope.group().equals(group) || envelope.group().equals(GroupId.NONE)
				|| group.equals(GroupId.NONE);
		return addressed && sameGroup;
	}

	private boolean acceptLeaderMessage(ReplicaId from, LogMessage message, long round) {
		if (message.term() < this.state.term()) {
			this.state.sendAfterSync(from, new LogMessage.AppendResponse(this.state.term(), false, 0, 0, round));
			return false;
		}
		if (this.state.isLeader() && message.term() == this.state.term()) {
			return false;
		}
		this.state.becomeFollower(message.term(), from);
		this.state.recordLeaderContact();
		return true;
	}

	private boolean acceptResponse(ReplicaId from, LogMessage message) {
		boolean member = this.state.membership().contains(from);
		if (member && message.term() > this.state.term()) {
			this.state.becomeFollower(message.term(), null);
			this.state.resetElectionDeadline();
		}
		return this.state.isLeader() && message.term() == this.state.term();
	}

	/**
	 * Proposes a command.
	 * @param command the command; the caller must not modify the array afterwards
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the position of the command in the log, or a refusal if this replica does
	 * not accept proposals
	 */
	public Proposal propose(byte[] command, long nowNanos) {
		this.state.advanceTime(nowNanos);
		if (!this.state.isLeader() || this.handingOver) {
			return new Proposal.Refused(this.state.leader().filter((leader) -> !leader.equals(this.state.self())));
		}
		return new Proposal.Appended(this.replication.append(new EntryBody.Command(command)), this.state.term());
	}

	/**
	 * Requests a linearizable read, which sees every command acknowledged before the
	 * request.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the ticket that identifies the {@link ReadResult} of this read
	 */
	public long requestRead(long nowNanos) {
		this.state.advanceTime(nowNanos);
		return this.pendingReads.request();
	}

	/**
	 * Removes a replica that is permanently lost. Works only on the leader, only while no
	 * other membership change is in progress, and only if a quorum of the remaining
	 * voters responded recently.
	 * @param replica the replica to remove
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return whether the membership change was started
	 */
	public boolean remove(ReplicaId replica, long nowNanos) {
		this.state.advanceTime(nowNanos);
		return this.membershipChanges.remove(replica);
	}

	/**
	 * Transfers leadership: the leader stops accepting proposals and asks the voter with
	 * the highest match index to take over. If the transfer has not succeeded within an
	 * election timeout, the leader accepts proposals again.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return whether this replica leads and had a voter to ask
	 */
	public boolean handOver(long nowNanos) {
		this.state.advanceTime(nowNanos);
		if (!this.state.isLeader()) {
			return false;
		}
		Optional<Progress> successor = findSuccessor(this.replication.allProgress());
		successor.ifPresent((to) -> {
			this.handingOver = true;
			this.handoverStartNanos = this.state.nowNanos();
			this.replication.flush();
			this.state.send(to.replica(), new LogMessage.HandoverRequest(this.state.term()));
		});
		return successor.isPresent();
	}

	private void endExpiredHandover() {
		if (this.state.nowNanos() - this.handoverStartNanos >= this.state.settings().electionTimeoutNanos()) {
			this.handingOver = false;
		}
	}

	private Optional<Progress> findSuccessor(Collection<Progress> all) {
		return all.stream()
			.filter((progress) -> this.state.membership().isVoter(progress.replica()))
			.filter((progress) -> progress.mode() == Progress.Mode.REPLICATE)
			.max(Comparator.comparingLong(Progress::matchIndex));
	}

	/**
	 * Reports that writes are synced.
	 * @param writeNumber the number of the last synced write; all earlier writes are
	 * synced too
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void synced(long writeNumber, long nowNanos) {
		this.state.advanceTime(nowNanos);
		if (this.state.role() == Role.FAILED) {
			return;
		}
		this.state.markSynced(writeNumber);
		becomeLeaderIf(this.election.onSynced());
		if (this.state.isLeader()) {
			this.replication.advanceCommit();
		}
	}

	/**
	 * Reports that a write or sync failed. The replica is inactive until it is restarted,
	 * because its memory and its disk may differ.
	 * @param reason the reason shown in the status
	 */
	public void storageFailed(String reason) {
		this.state.fail(reason);
	}

	private void becomeLeaderIf(boolean won) {
		if (won && !this.state.isLeader()) {
			this.state.setRole(Role.LEADER);
			this.state.setLeader(this.state.self());
			this.handingOver = false;
			this.replication.start();
		}
	}

	/**
	 * Whether the log has grown enough for {@link #compact} to be called.
	 * @return true if compaction is due
	 */
	public boolean isCompactionDue() {
		long snapshotIndex = this.state.snapshot().lastIndex();
		long appliedEntries = this.state.appliedIndex() - snapshotIndex;
		if (appliedEntries == 0 || this.state.role() == Role.FAILED) {
			return false;
		}
		LogSettings settings = this.state.settings();
		return appliedEntries >= settings.compactionEntries()
				|| this.state.entries().bytes() >= settings.compactionBytes() + (long) settings.trailingBytes();
	}

	/**
	 * Replaces the applied part of the log with a snapshot.
	 * @param snapshot the state after the last command returned by {@link #takeOutputs()}
	 */
	public void compact(byte[] snapshot) {
		if (this.state.role() != Role.FAILED) {
			this.state.compact(snapshot);
		}
	}

	/**
	 * Returns the pending outputs and clears them.
	 * @return the outputs since the last call
	 */
	public Outputs takeOutputs() {
		this.membershipChanges.flush();
		if (this.state.isLeader()) {
			this.replication.flush();
			resignIfRemoved();
		}
		this.pendingReads.flush();
		return this.state.outbox().take();
	}

	private void resignIfRemoved() {
		if (this.state.isMembershipCommitted() && !this.state.membership().isVoter(this.state.self())) {
			handOver(this.state.nowNanos());
			this.state.becomeFollower(this.state.term(), null);
			this.state.setRemoved(true);
		}
	}

	/**
	 * Returns the status of this replica.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the status
	 */
	public LogStatus status(long nowNanos) {
		this.state.advanceTime(nowNanos);
		LogState shared = this.state;
		boolean hasLeader = (shared.isLeader()) ? this.replication.hasCommittedInTerm() : shared.hasRecentLeader();
		long leaderlessNanos = (hasLeader) ? 0 : shared.nanosSinceLeaderContact();
		return new LogStatus(shared.self(), shared.role(), shared.term(), shared.leader(), leaderlessNanos,
				shared.entries().lastIndex(), shared.commitIndex(), shared.appliedIndex(),
				shared.snapshot().lastIndex(), shared.membership(), shared.isMembershipCommitted(), shared.isRemoved(),
				shared.failure());
	}

}
