package org.vanillatrestle.internal.log;

import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The leader's side of replication: sends entries, heartbeats and snapshots, counts
 * acknowledgements and advances the commit index.
 * <p>
 * Only entries of the current term are committed by counting replicas; earlier entries
 * are committed along with them. The leader's own copy of an entry counts once it is
 * synced to disk. Not thread safe.
 */
final class Replication {

	private final LogState state;

	private final Map<ReplicaId, Progress> progress = new TreeMap<>();

	private long termStartIndex;

	private long lastHeartbeatNanos;

	private long readRound;

	private long sentReadRound;

	Replication(LogState state) {
		this.state = state;
	}

	/**
	 * Starts a term as leader by appending a no-op entry of that term.
	 */
	void start() {
		this.progress.clear();
		this.readRound = 0;
		this.sentReadRound = 0;
		this.lastHeartbeatNanos = this.state.nowNanos();
		long next = this.state.entries().lastIndex() + 1;
		this.termStartIndex = append(new EntryBody.NoOp());
		for (ReplicaId member : this.state.membership().members()) {
			addProgress(member, next);
		}
	}

	long append(EntryBody body) {
		long index = this.state.entries().lastIndex() + 1;
		this.state.append(List.of(new LogEntry(index, this.state.term(), body)));
		return index;
	}

	/**
	 * Updates the tracked replicas after a membership change.
	 */
	void onMembershipChanged() {
		Set<ReplicaId> members = this.state.membership().members();
		this.progress.keySet().retainAll(members);
		for (ReplicaId member : members) {
			addProgress(member, this.state.entries().lastIndex());
		}
	}

	private void addProgress(ReplicaId member, long nextIndex) {
		if (!member.equals(this.state.self())) {
			this.progress.computeIfAbsent(member, (id) -> new Progress(id, nextIndex, this.state.nowNanos()));
		}
	}

	boolean hasCommittedInTerm() {
		return this.state.commitIndex() >= this.termStartIndex;
	}

	Progress progressOf(ReplicaId replica) {
		return this.progress.get(replica);
	}

	Collection<Progress> allProgress() {
		return this.progress.values();
	}

	void tick() {
		long now = this.state.nowNanos();
		if (!checkQuorum()) {
			this.state.becomeFollower(this.state.term(), null);
			this.state.resetElectionDeadline();
			return;
		}
		if (now - this.lastHeartbeatNanos >= this.state.settings().heartbeatIntervalNanos()) {
			this.lastHeartbeatNanos = now;
			this.progress.values().forEach(this::sendHeartbeat);
		}
	}

	private boolean checkQuorum() {
		boolean quorum = isQuorumResponsive(this.state.membership());
		if (quorum && hasCommittedInTerm()) {
			this.state.recordLeaderContact();
		}
		return quorum;
	}

	/**
	 * Whether this leader and the replicas that responded within the last election
	 * timeout form a quorum of a membership.
	 * @param membership the current membership or a candidate for the next one
	 * @return true if they form a quorum
	 */
	boolean isQuorumResponsive(Membership membership) {
		long timeoutNanos = this.state.settings().electionTimeoutNanos();
		long now = this.state.nowNanos();
		Set<ReplicaId> responsive = new TreeSet<>();
		responsive.add(this.state.self());
		this.progress.values()
			.stream()
			.filter((p) -> now - p.lastResponseNanos() < timeoutNanos)
			.forEach((p) -> responsive.add(p.replica()));
		return !membership.voters().isEmpty() && membership.isQuorum(responsive);
	}

	private void sendHeartbeat(Progress to) {
		to.stopAwaitingAck();
		if (to.mode() == Progress.Mode.REPLICATE && this.state.entries().knowsTermAt(to.nextIndex() - 1)) {
			sendEntries(to, List.of());
			to.recordHeartbeatSent(this.state.commitIndex());
		}
	}

	/**
	 * Sends every message that flow control allows at present: entries, probes, snapshot
	 * chunks, and heartbeats for a new read round or commit index.
	 */
	void flush() {
		boolean newReadRound = this.readRound > this.sentReadRound;
		this.sentReadRound = this.readRound;
		for (Progress to : this.progress.values()) {
			boolean sent = flush(to);
			boolean commitIndexUnsent = to.mode() == Progress.Mode.REPLICATE
					&& to.sentCommitIndex() < this.state.commitIndex();
			if (!sent && (newReadRound || commitIndexUnsent)) {
				sendHeartbeat(to);
			}
		}
	}

	private boolean flush(Progress to) {
		boolean previousTermKnown = this.state.entries().knowsTermAt(to.nextIndex() - 1);
		if (to.mode() != Progress.Mode.SNAPSHOT && !previousTermKnown) {
			to.beginSnapshot(this.state.snapshot());
		}
		return switch (to.mode()) {
			case PROBE -> flushProbe(to);
			case REPLICATE -> flushEntries(to);
			case SNAPSHOT -> flushSnapshot(to);
		};
	}

	private boolean flushProbe(Progress to) {
		if (to.isAwaitingAck()) {
			return false;
		}
		sendEntries(to, this.state.entries().slice(to.nextIndex(), this.state.settings().batchBytes()));
		to.recordProbeSent(this.state.commitIndex());
		return true;
	}

	private boolean flushEntries(Progress to) {
		boolean sent = false;
		LogSettings settings = this.state.settings();
		while (to.nextIndex() <= this.state.entries().lastIndex() && to.hasWindowSpace(settings.windowBytes())) {
			List<LogEntry> batch = this.state.entries().slice(to.nextIndex(), settings.batchBytes());
			sendEntries(to, batch);
			int bytes = batch.stream().mapToInt(LogEntry::sizeBytes).sum();
			to.recordBatchSent(batch.get(batch.size() - 1).index(), bytes, this.state.commitIndex());
			sent = true;
		}
		return sent;
	}

	private boolean flushSnapshot(Progress to) {
		if (to.isAwaitingAck()) {
			return false;
		}
		Snapshot snapshot = to.snapshot();
		byte[] stateBytes = snapshot.state();
		int from = to.snapshotOffsetBytes();
		int end = Math.min(stateBytes.length, from + this.state.settings().chunkBytes());
		this.state.send(to.replica(),
				new LogMessage.SnapshotChunk(this.state.term(), snapshot.lastIndex(), snapshot.lastTerm(),
						snapshot.membership(), stateBytes.length, from, Arrays.copyOfRange(stateBytes, from, end),
						this.readRound));
		to.recordChunkSent();
		return true;
	}

	private void sendEntries(Progress to, List<LogEntry> entries) {
		long previous = to.nextIndex() - 1;
		this.state.send(to.replica(), new LogMessage.AppendRequest(this.state.term(), previous,
				this.state.entries().termAt(previous), entries, this.state.commitIndex(), this.readRound));
	}

	void onAppendResponse(ReplicaId from, LogMessage.AppendResponse response) {
		Progress sender = this.progress.get(from);
		if (sender == null) {
			return;
		}
		sender.recordResponse(this.state.nowNanos(), response.readRound());
		if (response.accepted()) {
			sender.recordMatch(response.matchIndex());
			advanceCommit();
		}
		else {
			sender.recordRejection(response.rejectedIndex(), response.matchIndex());
		}
	}

	void onChunkResponse(ReplicaId from, LogMessage.SnapshotChunkResponse response) {
		Progress sender = this.progress.get(from);
		if (sender == null) {
			return;
		}
		sender.recordResponse(this.state.nowNanos(), response.readRound());
		sender.recordChunkReceived(response.lastIndex(), response.nextOffsetBytes());
	}

	/**
	 * Advances the commit index to the last entry of the current term that a majority of
	 * the voters has on disk.
	 */
	void advanceCommit() {
		Membership membership = this.state.membership();
		long[] matchIndexes = membership.voters().stream().mapToLong(this::matchIndexOf).sorted().toArray();
		if (matchIndexes.length == 0) {
			return;
		}
		long majorityIndex = matchIndexes[matchIndexes.length - membership.quorumSize()];
		if (majorityIndex > this.state.commitIndex()
				&& this.state.entries().termAt(majorityIndex) == this.state.term()) {
			this.state.commitTo(majorityIndex);
		}
	}

	private long matchIndexOf(ReplicaId voter) {
		if (voter.equals(this.state.self())) {
			return this.state.syncedIndex();
		}
		return this.progress.get(voter).matchIndex();
	}

	long beginReadRound() {
		if (this.readRound == this.sentReadRound) {
			this.readRound++;
		}
		return this.readRound;
	}

	boolean isReadRoundConfirmed(long requestedRound) {
		Set<ReplicaId> confirming = new TreeSet<>();
		confirming.add(this.state.self());
		this.progress.values()
			.stream()
			.filter((p) -> p.confirmedRound() >= requestedRound)
			.forEach((p) -> confirming.add(p.replica()));
		return this.state.membership().isQuorum(confirming);
	}

}
