package org.vanillatrestle.internal.log;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;
import org.vanillatrestle.VmId;

/**
 * One replica of a replicated log, in the manner of Raft: pre-vote, check-quorum,
 * snapshots, learners and one membership change at a time.
 * <p>
 * Deterministic: it changes only by the calls of its owner, who passes in the monotonic
 * time, messages and completed writes, and carries out {@link #takeOutputs()} after each
 * call or several. At most one leader in each term; an entry that was reported as
 * committed is never lost or moved while a majority of the voters keeps its disks.
 * Nothing is promised to another replica before it is on disk. Not thread safe.
 */
public final class ReplicatedLog {

	private final LogState state;

	private final Election election;

	private final Replication replication;

	private final EntryReceiver receiver;

	private final SnapshotReceiver snapshots;

	private final MembershipChanges changes;

	private final Reads reads;

	private Set<VmId> seeds = Set.of();

	private long joinNanos;

	private boolean handingOver;

	private long handoverNanos;

	/**
	 * Starts a replica from its disk.
	 * @param self the replica, with the storage id of the disk
	 * @param settings times and sizes
	 * @param recovered what the disk holds
	 * @param random spreads elections in time
	 * @param nowNanos the monotonic time
	 */
	public ReplicatedLog(ReplicaId self, LogSettings settings, RecoveredState recovered, UniformRandomProvider random,
			long nowNanos) {
		this.state = new LogState(self, settings, recovered, random, nowNanos);
		this.election = new Election(this.state);
		this.replication = new Replication(this.state);
		this.receiver = new EntryReceiver(this.state);
		this.snapshots = new SnapshotReceiver(this.state);
		this.changes = new MembershipChanges(this.state, this.replication);
		this.reads = new Reads(this.state, this.replication);
		this.joinNanos = nowNanos - settings.electionTimeoutNanos();
	}

	/**
	 * Sets the VMs that should hold a voter each. As a leader it takes in their replicas
	 * when they ask; as a replica without a group it asks them.
	 * @param vms the wanted VMs; a voter of another VM stays until it is removed
	 */
	public void setWantedVoters(Set<VmId> vms) {
		this.seeds = Set.copyOf(vms);
		this.changes.want(vms);
	}

	/**
	 * Sets how many voters the group should have, so that a leader keeps further replicas
	 * as learners and lets them replace silent voters. Without a target every wanted VM
	 * gets a voter and none is removed.
	 * @param count the number of voters
	 */
	public void setVoterTarget(int count) {
		this.changes.setVoterTarget(count);
	}

	/**
	 * Lets time pass.
	 * @param nowNanos the monotonic time
	 */
	public void tick(long nowNanos) {
		this.state.setNow(nowNanos);
		switch (this.state.role()) {
			case FAILED -> {
			}
			case LEADER -> {
				this.replication.tick();
				endFailedHandover();
			}
			default -> {
				this.election.tick();
				askToJoin();
			}
		}
	}

	private void askToJoin() {
		boolean voter = this.state.membership().isVoter(this.state.self());
		boolean outside = (!voter && !this.state.hasRecentLeader()) || this.state.removed();
		boolean due = this.state.nowNanos() - this.joinNanos >= this.state.settings().electionTimeoutNanos();
		if (!outside || !due) {
			return;
		}
		this.joinNanos = this.state.nowNanos();
		for (VmId vm : this.seeds) {
			if (!vm.equals(this.state.self().vm())) {
				this.state.send(new ReplicaId(vm, StorageId.ANY), new LogMessage.JoinRequest(0));
			}
		}
	}

	/**
	 * Takes a message of another replica. A message of another group or for another
	 * storage is dropped.
	 * @param envelope the message
	 * @param nowNanos the monotonic time
	 */
	public void receive(LogEnvelope envelope, long nowNanos) {
		this.state.setNow(nowNanos);
		if (this.state.role() == Role.FAILED || !isForThisReplica(envelope)) {
			return;
		}
		ReplicaId from = envelope.from();
		LogMessage message = envelope.message();
		if (message instanceof LogMessage.AppendRequest request) {
			if (isFromLeader(from, request, request.round())) {
				this.receiver.onRequest(from, request);
			}
		}
		else if (message instanceof LogMessage.SnapshotChunk chunk) {
			if (isFromLeader(from, chunk, chunk.round())) {
				this.snapshots.onChunk(from, chunk);
			}
		}
		else if (message instanceof LogMessage.AppendResponse response) {
			if (isForThisTerm(from, response)) {
				this.replication.onAppendResponse(from, response);
			}
		}
		else if (message instanceof LogMessage.SnapshotChunkResponse response) {
			if (isForThisTerm(from, response)) {
				this.replication.onChunkResponse(from, response);
			}
		}
		else {
			receiveForElection(from, message);
		}
	}

	private void receiveForElection(ReplicaId from, LogMessage message) {
		if (message instanceof LogMessage.VoteRequest request) {
			this.election.onRequest(from, request);
		}
		else if (message instanceof LogMessage.VoteResponse response) {
			leadIf(this.election.onResponse(from, response));
		}
		else if (message instanceof LogMessage.HandoverRequest request) {
			this.election.onHandover(request);
		}
		else if (message instanceof LogMessage.JoinRequest) {
			this.changes.onJoin(from);
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

	private boolean isFromLeader(ReplicaId from, LogMessage message, long round) {
		if (message.term() < this.state.term()) {
			this.state.sendAfterSync(from, new LogMessage.AppendResponse(this.state.term(), false, 0, 0, round));
			return false;
		}
		if (this.state.isLeader() && message.term() == this.state.term()) {
			return false;
		}
		this.state.follow(message.term(), from);
		this.state.leaderHeard();
		return true;
	}

	private boolean isForThisTerm(ReplicaId from, LogMessage message) {
		boolean member = this.state.membership().contains(from);
		if (member && message.term() > this.state.term()) {
			this.state.follow(message.term(), null);
			this.state.resetElectionDeadline();
		}
		return this.state.isLeader() && message.term() == this.state.term();
	}

	/**
	 * Proposes a command.
	 * @param command the command; must not be written to any more
	 * @param nowNanos the monotonic time
	 * @return where it stands in the log, or that it went nowhere
	 */
	public Proposal propose(byte[] command, long nowNanos) {
		this.state.setNow(nowNanos);
		if (!this.state.isLeader() || this.handingOver) {
			return new Proposal.Refused(this.state.leader().filter((leader) -> !leader.equals(this.state.self())));
		}
		return new Proposal.Appended(this.replication.append(new EntryBody.Command(command)), this.state.term());
	}

	/**
	 * Asks for a read that sees every command acknowledged before.
	 * @param nowNanos the monotonic time
	 * @return the ticket that comes back in a {@link ReadResult}
	 */
	public long requestRead(long nowNanos) {
		this.state.setNow(nowNanos);
		return this.reads.request();
	}

	/**
	 * Removes a replica that is lost for good. Only the leader can, one change at a time.
	 * @param replica the replica
	 * @param nowNanos the monotonic time
	 * @return whether the change was begun
	 */
	public boolean remove(ReplicaId replica, long nowNanos) {
		this.state.setNow(nowNanos);
		return this.changes.remove(replica);
	}

	/**
	 * As a leader, takes no more proposals and asks the voter with the longest log to
	 * take over.
	 * @param nowNanos the monotonic time
	 * @return whether there was a voter to ask
	 */
	public boolean handOver(long nowNanos) {
		this.state.setNow(nowNanos);
		if (!this.state.isLeader()) {
			return false;
		}
		Optional<Progress> successor = successor(this.replication.all());
		successor.ifPresent((to) -> {
			this.handingOver = true;
			this.handoverNanos = this.state.nowNanos();
			this.replication.flush();
			this.state.send(to.replica(), new LogMessage.HandoverRequest(this.state.term()));
		});
		return successor.isPresent();
	}

	private void endFailedHandover() {
		if (this.state.nowNanos() - this.handoverNanos >= this.state.settings().electionTimeoutNanos()) {
			this.handingOver = false;
		}
	}

	private Optional<Progress> successor(Collection<Progress> all) {
		return all.stream()
			.filter((progress) -> this.state.membership().isVoter(progress.replica()))
			.filter((progress) -> progress.mode() == Progress.Mode.REPLICATE)
			.max(Comparator.comparingLong(Progress::matchIndex));
	}

	/**
	 * Reports that writes are synced.
	 * @param writeNumber the number of the last write that is on disk, as are all before
	 * @param nowNanos the monotonic time
	 */
	public void synced(long writeNumber, long nowNanos) {
		this.state.setNow(nowNanos);
		if (this.state.role() == Role.FAILED) {
			return;
		}
		this.state.synced(writeNumber);
		leadIf(this.election.onSynced());
		if (this.state.isLeader()) {
			this.replication.advanceCommit();
		}
	}

	/**
	 * Reports that a write or sync failed. The replica stops for good: what it has in
	 * memory and on disk may differ.
	 * @param reason for the status
	 */
	public void storageFailed(String reason) {
		this.state.fail(reason);
	}

	private void leadIf(boolean won) {
		if (won && !this.state.isLeader()) {
			this.state.setRole(Role.LEADER);
			this.state.setLeader(this.state.self());
			this.handingOver = false;
			this.replication.start();
		}
	}

	/**
	 * Whether the log has grown so much that {@link #compact} is due.
	 * @return true when due
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
	 * Replaces the applied part of the log by a snapshot.
	 * @param snapshot the state after the last command handed out by
	 * {@link #takeOutputs()}
	 */
	public void compact(byte[] snapshot) {
		if (this.state.role() != Role.FAILED) {
			this.state.compact(snapshot);
		}
	}

	/**
	 * Takes what is to be done.
	 * @return the outputs since the last call
	 */
	public Outputs takeOutputs() {
		this.changes.flush();
		if (this.state.isLeader()) {
			this.replication.flush();
			resignIfRemoved();
		}
		this.reads.flush();
		return this.state.outbox().take();
	}

	private void resignIfRemoved() {
		if (this.state.isMembershipCommitted() && !this.state.membership().isVoter(this.state.self())) {
			handOver(this.state.nowNanos());
			this.state.follow(this.state.term(), null);
			this.state.setRemoved(true);
		}
	}

	/**
	 * Tells what the replica knows of itself.
	 * @param nowNanos the monotonic time
	 * @return the status
	 */
	public LogStatus status(long nowNanos) {
		this.state.setNow(nowNanos);
		LogState s = this.state;
		boolean led = (s.isLeader()) ? this.replication.hasCommittedInTerm() : s.hasRecentLeader();
		long leaderlessNanos = (led) ? 0 : s.sinceLeaderNanos();
		return new LogStatus(s.self(), s.role(), s.term(), s.leader(), leaderlessNanos, s.entries().lastIndex(),
				s.commitIndex(), s.appliedIndex(), s.snapshot().lastIndex(), s.membership(), s.isMembershipCommitted(),
				s.removed(), s.failure());
	}

}
