package org.vanillatrestle.internal.log;

import java.util.List;
import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * State shared by the components of a replicated log: role, term, vote, entries,
 * memberships, indexes and the current time.
 * <p>
 * Invariants: the term never decreases, committed entries are never truncated, and
 * appliedIndex &lt;= commitIndex &lt;= last index. Not thread safe.
 */
final class LogState {

	private final ReplicaId self;

	private final LogSettings settings;

	private final UniformRandomProvider random;

	private final Outbox outbox = new Outbox();

	private final EntryLog entries;

	private final MembershipHistory memberships;

	private final SyncedIndex syncedIndex;

	private Snapshot snapshot;

	private Role role = Role.FOLLOWER;

	private Vote vote;

	private ReplicaId leader;

	private long commitIndex;

	private long appliedIndex;

	private long nowNanos;

	private long lastLeaderContactNanos;

	private long electionDeadlineNanos;

	private boolean removedFromGroup;

	private String failure;

	LogState(ReplicaId self, LogSettings settings, RecoveredState recovered, UniformRandomProvider random,
			long nowNanos) {
		this.self = self;
		this.settings = settings;
		this.random = random;
		this.entries = new EntryLog(recovered.snapshot(), recovered.entries());
		this.memberships = new MembershipHistory(recovered.snapshot(), recovered.entries());
		this.syncedIndex = new SyncedIndex(this.entries.lastIndex());
		this.snapshot = recovered.snapshot();
		this.vote = raisedToLastTerm(recovered.vote());
		this.commitIndex = this.snapshot.lastIndex();
		this.appliedIndex = this.snapshot.lastIndex();
		this.nowNanos = nowNanos;
		this.lastLeaderContactNanos = nowNanos;
		this.electionDeadlineNanos = nowNanos + firstElectionDelayNanos();
		if (isOnlyVoter()) {
			this.electionDeadlineNanos = nowNanos;
		}
		if (this.snapshot.lastIndex() > 0) {
			this.outbox.addStateChange(new StateChange.Restore(this.snapshot));
		}
	}

	// Shorter than later election timeouts: a replica that has just started knows no
	// leader, and the pre-vote cannot disrupt a leader that exists.
	private long firstElectionDelayNanos() {
		long quarter = this.settings.electionTimeoutNanos() / 4;
		return quarter + this.random.nextLong(2 * quarter);
	}

	private boolean isOnlyVoter() {
		return membership().isVoter(this.self) && membership().voters().size() == 1;
	}

	private Vote raisedToLastTerm(Vote recovered) {
		long lastTerm = this.entries.lastTerm();
		return (recovered.term() >= lastTerm) ? recovered : new Vote(lastTerm, Optional.empty());
	}

	ReplicaId self() {
		return this.self;
	}

	LogSettings settings() {
		return this.settings;
	}

	Outbox outbox() {
		return this.outbox;
	}

	EntryLog entries() {
		return this.entries;
	}

	MembershipHistory memberships() {
		return this.memberships;
	}

	Membership membership() {
		return this.memberships.current();
	}

	boolean isMembershipCommitted() {
		return this.memberships.currentIndex() <= this.commitIndex;
	}

	Snapshot snapshot() {
		return this.snapshot;
	}

	Role role() {
		return this.role;
	}

	boolean isLeader() {
		return this.role == Role.LEADER;
	}

	long term() {
		return this.vote.term();
	}

	Vote vote() {
		return this.vote;
	}

	Optional<ReplicaId> leader() {
		return Optional.ofNullable(this.leader);
	}

	long commitIndex() {
		return this.commitIndex;
	}

	long appliedIndex() {
		return this.appliedIndex;
	}

	long syncedIndex() {
		return this.syncedIndex.index();
	}

	long nowNanos() {
		return this.nowNanos;
	}

	boolean isRemoved() {
		return this.removedFromGroup;
	}

	Optional<String> failure() {
		return Optional.ofNullable(this.failure);
	}

	void advanceTime(long nowNanos) {
		if (nowNanos - this.nowNanos > 0) {
			this.nowNanos = nowNanos;
		}
	}

	void setRemoved(boolean removed) {
		this.removedFromGroup = removed;
	}

	void setRole(Role role) {
		this.role = role;
	}

	void saveVote(Vote newVote) {
		if (newVote.equals(this.vote)) {
			return;
		}
		this.vote = newVote;
		this.outbox.write(new DiskWrite.SaveVote(newVote));
	}

	/**
	 * Becomes a follower in a term.
	 * @param term the term, not lower than the current one
	 * @param newLeader the leader of the term, or null if it is not known
	 */
	void becomeFollower(long term, ReplicaId newLeader) {
		if (term > term()) {
			saveVote(new Vote(term, Optional.empty()));
		}
		this.role = Role.FOLLOWER;
		this.leader = newLeader;
	}

	void setLeader(ReplicaId newLeader) {
		this.leader = newLeader;
	}

	void recordLeaderContact() {
		this.lastLeaderContactNanos = this.nowNanos;
		this.removedFromGroup = false;
		resetElectionDeadline();
	}

	long nanosSinceLeaderContact() {
		return this.nowNanos - this.lastLeaderContactNanos;
	}

	boolean hasRecentLeader() {
		return isLeader() || (this.leader != null && nanosSinceLeaderContact() < this.settings.electionTimeoutNanos());
	}

	void resetElectionDeadline() {
		long timeout = this.settings.electionTimeoutNanos();
		this.electionDeadlineNanos = this.nowNanos + timeout + this.random.nextLong(timeout);
	}

	boolean isElectionDue() {
		return this.nowNanos - this.electionDeadlineNanos >= 0;
	}

	void append(List<LogEntry> appended) {
		long first = appended.get(0).index();
		if (first <= this.commitIndex) {
			throw new IllegalStateException("entry " + first + " is committed and cannot be replaced");
		}
		this.entries.append(appended);
		this.memberships.append(appended);
		long writeNumber = this.outbox.write(new DiskWrite.AppendEntries(List.copyOf(appended)));
		this.syncedIndex.recordWrite(writeNumber, first, this.entries.lastIndex());
	}

	void commitTo(long index) {
		this.commitIndex = Math.max(this.commitIndex, index);
		while (this.appliedIndex < this.commitIndex) {
			this.appliedIndex++;
			this.outbox.addStateChange(new StateChange.Apply(this.entries.get(this.appliedIndex)));
		}
	}

	void markSynced(long writeNumber) {
		this.syncedIndex.markSynced(writeNumber);
		this.outbox.markSynced(writeNumber, term());
	}

	void compact(byte[] state) {
		long index = this.appliedIndex;
		this.snapshot = new Snapshot(index, this.entries.termAt(index), this.memberships.at(index), state);
		this.entries.compact(index, this.settings.trailingBytes());
		this.memberships.compact(this.entries.baseIndex());
		this.outbox.write(new DiskWrite.SaveSnapshot(this.snapshot, false));
	}

	void install(Snapshot installed) {
		this.snapshot = installed;
		this.entries.reset(installed.lastIndex(), installed.lastTerm());
		this.memberships.reset(installed.lastIndex(), installed.membership());
		this.commitIndex = installed.lastIndex();
		this.appliedIndex = installed.lastIndex();
		long writeNumber = this.outbox.write(new DiskWrite.SaveSnapshot(installed, true));
		this.syncedIndex.reset(writeNumber, installed.lastIndex());
		this.outbox.addStateChange(new StateChange.Restore(installed));
	}

	void fail(String reason) {
		this.role = Role.FAILED;
		this.leader = null;
		this.failure = reason;
		this.outbox.discardMessagesAndWrites();
	}

	void send(ReplicaId to, LogMessage message) {
		this.outbox.send(new LogEnvelope(membership().group(), this.self, to, message));
	}

	void sendAfterSync(ReplicaId to, LogMessage message) {
		this.outbox.sendAfterSync(new LogEnvelope(membership().group(), this.self, to, message), term());
	}

}
