package org.vanillatrestle.internal.log;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * What a leader knows of another replica's log.
 * <p>
 * The match index never goes back within a term and next &gt; match. Not thread safe.
 */
final class Progress {

	private final ReplicaId replica;

	private final Deque<Batch> window = new ArrayDeque<>();

	private Mode mode = Mode.PROBE;

	private boolean waiting;

	private long matchIndex;

	private long nextIndex;

	private long sentCommitIndex;

	private long windowBytes;

	private Snapshot snapshot;

	private int snapshotOffsetBytes;

	private long heardNanos;

	private long confirmedRound;

	private long catchUpTarget;

	private long catchUpBeganNanos;

	Progress(ReplicaId replica, long nextIndex, long nowNanos) {
		this.replica = replica;
		this.nextIndex = nextIndex;
		this.heardNanos = nowNanos;
		this.catchUpBeganNanos = nowNanos;
		this.catchUpTarget = nextIndex;
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

	long heardNanos() {
		return this.heardNanos;
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

	boolean isWaiting() {
		return this.waiting;
	}

	void heard(long nowNanos, long round) {
		this.heardNanos = nowNanos;
		this.confirmedRound = Math.max(this.confirmedRound, round);
	}

	void stopWaiting() {
		this.waiting = false;
	}

	boolean hasRoom(int limitBytes) {
		return this.windowBytes < limitBytes;
	}

	void sentProbe(long commitIndex) {
		this.waiting = true;
		this.sentCommitIndex = commitIndex;
	}

	void sentBatch(long lastIndex, int bytes, long commitIndex) {
		this.nextIndex = lastIndex + 1;
		this.window.addLast(new Batch(lastIndex, bytes));
		this.windowBytes += bytes;
		this.sentCommitIndex = commitIndex;
	}

	void sentHeartbeat(long commitIndex) {
		this.sentCommitIndex = commitIndex;
	}

	void matched(long index) {
		this.matchIndex = Math.max(this.matchIndex, index);
		this.nextIndex = Math.max(this.nextIndex, this.matchIndex + 1);
		while (!this.window.isEmpty() && this.window.peekFirst().lastIndex() <= this.matchIndex) {
			this.windowBytes -= this.window.removeFirst().bytes();
		}
		boolean snapshotDone = this.snapshot == null || this.matchIndex >= this.snapshot.lastIndex();
		if (this.mode != Mode.REPLICATE && snapshotDone) {
			this.snapshot = null;
			this.nextIndex = this.matchIndex + 1;
			enter(Mode.REPLICATE);
		}
	}

	void refused(long rejectedIndex, long backToIndex) {
		boolean stale = rejectedIndex <= this.matchIndex || this.mode == Mode.SNAPSHOT
				|| (this.mode == Mode.PROBE && rejectedIndex != this.nextIndex - 1);
		if (stale) {
			return;
		}
		long back = Math.min(backToIndex + 1, rejectedIndex);
		this.nextIndex = Math.max(back, this.matchIndex + 1);
		enter(Mode.PROBE);
	}

	void beginSnapshot(Snapshot begun) {
		this.snapshot = begun;
		this.snapshotOffsetBytes = 0;
		enter(Mode.SNAPSHOT);
	}

	void sentChunk() {
		this.waiting = true;
	}

	void chunkReceived(long lastIndex, int nextOffsetBytes) {
		boolean current = this.mode == Mode.SNAPSHOT && this.snapshot.lastIndex() == lastIndex;
		if (!current || nextOffsetBytes > this.snapshot.state().length) {
			return;
		}
		this.snapshotOffsetBytes = nextOffsetBytes;
		this.waiting = false;
	}

	/**
	 * Whether the replica reached the end of the log, as it was when a round began, in
	 * less than the given time. A round that took longer begins anew.
	 * @param lastIndex the end of the log now
	 * @param nowNanos the monotonic time
	 * @param limitNanos the most time a round may take
	 * @return true at the end of a quick round
	 */
	boolean isCaughtUp(long lastIndex, long nowNanos, long limitNanos) {
		if (this.matchIndex < this.catchUpTarget) {
			return false;
		}
		boolean quick = nowNanos - this.catchUpBeganNanos < limitNanos;
		this.catchUpBeganNanos = nowNanos;
		this.catchUpTarget = lastIndex;
		return quick;
	}

	private void enter(Mode newMode) {
		this.mode = newMode;
		this.waiting = false;
		this.window.clear();
		this.windowBytes = 0;
	}

	/**
	 * How entries are sent.
	 */
	enum Mode {

		/**
		 * One message at a time, until the logs match.
		 */
		PROBE,

		/**
		 * Many messages at a time.
		 */
		REPLICATE,

		/**
		 * The snapshot, part by part.
		 */
		SNAPSHOT

	}

	/**
	 * Entries sent and not yet acknowledged.
	 */
	private record Batch(long lastIndex, int bytes) {
	}

}
