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
 * acknowledgements and moves the commit index.
 * <p>
 * Commits by counting only entries of its own term; its own entries count once they are
 * synced. Not thread safe.
 */
final class Replication {

	private final LogState state;

	private final Map<ReplicaId, Progress> progress = new TreeMap<>();

	private long termStartIndex;

	private long heartbeatNanos;

	private long round;

	private long sentRound;

	Replication(LogState state) {
		this.state = state;
	}

	/**
	 * Begins a term as leader with an entry of its own.
	 */
	void start() {
		this.progress.clear();
		this.round = 0;
		this.sentRound = 0;
		this.heartbeatNanos = this.state.nowNanos();
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
	 * Follows a change of the membership.
	 */
	void membershipChanged() {
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

	Collection<Progress> all() {
		return this.progress.values();
	}

	void tick() {
		long now = this.state.nowNanos();
		if (!hasQuorum()) {
			this.state.follow(this.state.term(), null);
			this.state.resetElectionDeadline();
			return;
		}
		if (now - this.heartbeatNanos >= this.state.settings().heartbeatNanos()) {
			this.heartbeatNanos = now;
			this.progress.values().forEach(this::heartbeat);
		}
	}

	private boolean hasQuorum() {
		boolean quorum = isQuorumHeard(this.state.membership());
		if (quorum && hasCommittedInTerm()) {
			this.state.leaderHeard();
		}
		return quorum;
	}

	/**
	 * Whether a quorum of a membership was heard of recently.
	 * @param membership the membership in force or one that may follow
	 * @return true with a quorum
	 */
	boolean isQuorumHeard(Membership membership) {
		long limit = this.state.settings().electionTimeoutNanos();
		long now = this.state.nowNanos();
		Set<ReplicaId> heard = new TreeSet<>();
		heard.add(this.state.self());
		this.progress.values()
			.stream()
			.filter((p) -> now - p.heardNanos() < limit)
			.forEach((p) -> heard.add(p.replica()));
		return !membership.voters().isEmpty() && membership.isQuorum(heard);
	}

	private void heartbeat(Progress to) {
		to.stopWaiting();
		if (to.mode() == Progress.Mode.REPLICATE && this.state.entries().knowsTermAt(to.nextIndex() - 1)) {
			sendEntries(to, List.of());
			to.sentHeartbeat(this.state.commitIndex());
		}
	}

	/**
	 * Sends everything that may be sent now.
	 */
	void flush() {
		boolean newRound = this.round > this.sentRound;
		this.sentRound = this.round;
		for (Progress to : this.progress.values()) {
			boolean sent = flush(to);
			boolean commitIsNews = to.mode() == Progress.Mode.REPLICATE
					&& to.sentCommitIndex() < this.state.commitIndex();
			if (!sent && (newRound || commitIsNews)) {
				heartbeat(to);
			}
		}
	}

	private boolean flush(Progress to) {
		boolean known = this.state.entries().knowsTermAt(to.nextIndex() - 1);
		if (to.mode() != Progress.Mode.SNAPSHOT && !known) {
			to.beginSnapshot(this.state.snapshot());
		}
		return switch (to.mode()) {
			case PROBE -> flushProbe(to);
			case REPLICATE -> flushEntries(to);
			case SNAPSHOT -> flushSnapshot(to);
		};
	}

	private boolean flushProbe(Progress to) {
		if (to.isWaiting()) {
			return false;
		}
		sendEntries(to, this.state.entries().slice(to.nextIndex(), this.state.settings().batchBytes()));
		to.sentProbe(this.state.commitIndex());
		return true;
	}

	private boolean flushEntries(Progress to) {
		boolean sent = false;
		LogSettings settings = this.state.settings();
		while (to.nextIndex() <= this.state.entries().lastIndex() && to.hasRoom(settings.windowBytes())) {
			List<LogEntry> batch = this.state.entries().slice(to.nextIndex(), settings.batchBytes());
			sendEntries(to, batch);
			int bytes = batch.stream().mapToInt(LogEntry::sizeBytes).sum();
			to.sentBatch(batch.get(batch.size() - 1).index(), bytes, this.state.commitIndex());
			sent = true;
		}
		return sent;
	}

	private boolean flushSnapshot(Progress to) {
		if (to.isWaiting()) {
			return false;
		}
		Snapshot snapshot = to.snapshot();
		byte[] whole = snapshot.state();
		int from = to.snapshotOffsetBytes();
		int end = Math.min(whole.length, from + this.state.settings().chunkBytes());
		this.state.send(to.replica(),
				new LogMessage.SnapshotChunk(this.state.term(), snapshot.lastIndex(), snapshot.lastTerm(),
						snapshot.membership(), whole.length, from, Arrays.copyOfRange(whole, from, end), this.round));
		to.sentChunk();
		return true;
	}

	private void sendEntries(Progress to, List<LogEntry> entries) {
		long previous = to.nextIndex() - 1;
		this.state.send(to.replica(), new LogMessage.AppendRequest(this.state.term(), previous,
				this.state.entries().termAt(previous), entries, this.state.commitIndex(), this.round));
	}

	void onAppendResponse(ReplicaId from, LogMessage.AppendResponse response) {
		Progress sender = this.progress.get(from);
		if (sender == null) {
			return;
		}
		sender.heard(this.state.nowNanos(), response.round());
		if (response.accepted()) {
			sender.matched(response.matchIndex());
			advanceCommit();
		}
		else {
			sender.refused(response.rejectedIndex(), response.matchIndex());
		}
	}

	void onChunkResponse(ReplicaId from, LogMessage.SnapshotChunkResponse response) {
		Progress sender = this.progress.get(from);
		if (sender == null) {
			return;
		}
		sender.heard(this.state.nowNanos(), response.round());
		sender.chunkReceived(response.lastIndex(), response.nextOffsetBytes());
	}

	/**
	 * Commits what a majority of the voters has on disk.
	 */
	void advanceCommit() {
		Membership membership = this.state.membership();
		long[] matches = membership.voters().stream().mapToLong(this::matchOf).sorted().toArray();
		if (matches.length == 0) {
			return;
		}
		long majority = matches[matches.length - membership.quorumSize()];
		if (majority > this.state.commitIndex() && this.state.entries().termAt(majority) == this.state.term()) {
			this.state.commitTo(majority);
		}
	}

	private long matchOf(ReplicaId voter) {
		if (voter.equals(this.state.self())) {
			return this.state.syncedIndex();
		}
		return this.progress.get(voter).matchIndex();
	}

	long beginRound() {
		if (this.round == this.sentRound) {
			this.round++;
		}
		return this.round;
	}

	boolean isConfirmed(long askedRound) {
		Set<ReplicaId> confirming = new TreeSet<>();
		confirming.add(this.state.self());
		this.progress.values()
			.stream()
			.filter((p) -> p.confirmedRound() >= askedRound)
			.forEach((p) -> confirming.add(p.replica()));
		return this.state.membership().isQuorum(confirming);
	}

}
