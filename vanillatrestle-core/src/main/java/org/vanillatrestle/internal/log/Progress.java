package org.vanillatrestle.internal.log;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A leader's view of the log of another replica.
 * <p>
 * The match index never decreases within a term, and nextIndex &gt; matchIndex. Not
 * thread safe.
 */
final class Progress {

	private final ReplicaId replica;

	private final Deque<Batch> unackedBatches = new ArrayDeque<>();

	private Mode mode = Mode.PROBE;

	private boolean awaitingAck;

	private long matchIndex;

	private long nextIndex;

	private long sentCommitIndex;

	private long unackedBytes;

	private Snapshot snapshot;

	private int snapshotOffsetBytes;

	private long lastResponseNanos;

	private long confirmedRound;

	private long catchUpTargetIndex;

	private long catchUpStartNanos;

	Progress(ReplicaId replica, long nextIndex, long nowNanos) {
		this.replica = replica;
		this.nextIndex = nextIndex;
		this.lastResponseNanos = nowNanos;
		this.catchUpStartNanos = nowNanos;
		this.catchUpTargetIndex = nextIndex;
	}

	ReplicaId replica() {
		return this.replica;
	}

	Mode mode() {
		return this.mode;
	}

	long matchIndex() {
		return this.matchIndex;
	}

	long nextIndex() {
		return this.nextIndex;
	}

	long sentCommitIndex() {
		return this.sentCommitIndex;
	}

	long lastResponseNanos() {
		return this.lastResponseNanos;
	}

	long confirmedRound() {
		return this.confirmedRound;
	}

	Snapshot snapshot() {
		return this.snapshot;
	}

	int snapshotOffsetBytes() {
		return this.snapshotOffsetBytes;
	}

	boolean isAwaitingAck() {
		return this.awaitingAck;
	}

	void recordResponse(long nowNanos, long round) {
		this.lastResponseNanos = nowNanos;
		this.confirmedRound = Math.max(this.confirmedRound, round);
	}

	void stopAwaitingAck() {
		this.awaitingAck = false;
	}

	boolean hasWindowSpace(int limitBytes) {
		return this.unackedBytes < limitBytes;
	}

	void recordProbeSent(long commitIndex) {
		this.awaitingAck = true;
		this.sentCommitIndex = commitIndex;
	}

	void recordBatchSent(long lastIndex, int bytes, long commitIndex) {
		this.nextIndex = lastIndex + 1;
		this.unackedBatches.addLast(new Batch(lastIndex, bytes));
		this.unackedBytes += bytes;
		this.sentCommitIndex = commitIndex;
	}

	void recordHeartbeatSent(long commitIndex) {
		this.sentCommitIndex = commitIndex;
	}

	void recordMatch(long index) {
		this.matchIndex = Math.max(this.matchIndex, index);
		this.nextIndex = Math.max(this.nextIndex, this.matchIndex + 1);
		while (!this.unackedBatches.isEmpty() && this.unackedBatches.peekFirst().lastIndex() <= this.matchIndex) {
			this.unackedBytes -= this.unackedBatches.removeFirst().bytes();
		}
		boolean snapshotInstalled = this.snapshot == null || this.matchIndex >= this.snapshot.lastIndex();
		if (this.mode != Mode.REPLICATE && snapshotInstalled) {
			this.snapshot = null;
			this.nextIndex = this.matchIndex + 1;
			switchTo(Mode.REPLICATE);
		}
	}

	void recordRejection(long rejectedIndex, long matchHintIndex) {
		boolean stale = rejectedIndex <= this.matchIndex || this.mode == Mode.SNAPSHOT
				|| (this.mode == Mode.PROBE && rejectedIndex != this.nextIndex - 1);
		if (stale) {
			return;
		}
		long retryIndex = Math.min(matchHintIndex + 1, rejectedIndex);
		this.nextIndex = Math.max(retryIndex, this.matchIndex + 1);
		switchTo(Mode.PROBE);
	}

	void beginSnapshot(Snapshot newSnapshot) {
		this.snapshot = newSnapshot;
		this.snapshotOffsetBytes = 0;
		switchTo(Mode.SNAPSHOT);
	}

	void recordChunkSent() {
		this.awaitingAck = true;
	}

	void recordChunkReceived(long lastIndex, int nextOffsetBytes) {
		boolean isCurrentSnapshot = this.mode == Mode.SNAPSHOT && this.snapshot.lastIndex() == lastIndex;
		if (!isCurrentSnapshot || nextOffsetBytes > this.snapshot.state().length) {
			return;
		}
		this.snapshotOffsetBytes = nextOffsetBytes;
		this.awaitingAck = false;
	}

	/**
	 * Whether the replica has caught up with the leader's log. A catch-up round ends when
	 * the replica reaches the index that was the end of the log at the start of the
	 * round; the replica has caught up if the round took less than the limit. Every ended
	 * round is followed by a new one.
	 * @param lastIndex the current last index of the leader's log
	 * @param nowNanos the monotonic time in nanoseconds
	 * @param limitNanos the duration in nanoseconds that a round must stay below
	 * @return true if a round has just ended within the limit
	 */
	boolean isCaughtUp(long lastIndex, long nowNanos, long limitNanos) {
		if (this.matchIndex < this.catchUpTargetIndex) {
			return false;
		}
		boolean withinLimit = nowNanos - this.catchUpStartNanos < limitNanos;
		this.catchUpStartNanos = nowNanos;
		this.catchUpTargetIndex = lastIndex;
		return withinLimit;
	}

	private void switchTo(Mode newMode) {
		this.mode = newMode;
		this.awaitingAck = false;
		this.unackedBatches.clear();
		this.unackedBytes = 0;
	}

	/**
	 * How the leader sends entries to a replica.
	 */
	enum Mode {

		/**
		 * Sends one message at a time until it is known where the logs match.
		 */
		PROBE,

		/**
		 * Sends batches without waiting for each acknowledgement, up to the window size.
		 */
		REPLICATE,

		/**
		 * Sends the snapshot, one chunk at a time.
		 */
		SNAPSHOT

	}

	/**
	 * A batch of entries that was sent and is not yet acknowledged.
	 */
	private record Batch(long lastIndex, int bytes) {
	}

}
