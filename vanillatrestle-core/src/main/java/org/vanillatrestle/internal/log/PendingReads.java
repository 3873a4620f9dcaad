package org.vanillatrestle.internal.log;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Read requests, each of which waits until a quorum confirms that this replica was still
 * the leader after the request.
 * <p>
 * A confirmed read returns a commit index that is not lower than any index acknowledged
 * before the request. Not thread safe.
 */
final class PendingReads {

	private final LogState state;

	private final Replication replication;

	private final Deque<PendingRead> pending = new ArrayDeque<>();

	private long lastTicket;

	PendingReads(LogState state, Replication replication) {
		this.state = state;
		this.replication = replication;
	}

	long request() {
		this.lastTicket++;
		if (!this.state.isLeader() || !this.replication.hasCommittedInTerm()) {
			this.state.outbox().addReadResult(new ReadResult(this.lastTicket, false, this.state.appliedIndex()));
			return this.lastTicket;
		}
		long round = this.replication.beginReadRound();
		this.pending.addLast(new PendingRead(this.lastTicket, round, this.state.commitIndex()));
		return this.lastTicket;
	}

	/**
	 * Completes the reads whose round is confirmed; fails all reads if this replica no
	 * longer leads.
	 */
	void flush() {
		if (!this.state.isLeader()) {
			this.pending.forEach((read) -> end(read, false));
			this.pending.clear();
			return;
		}
		while (!this.pending.isEmpty() && this.replication.isReadRoundConfirmed(this.pending.peekFirst().round())) {
			end(this.pending.removeFirst(), true);
		}
	}

	private void end(PendingRead read, boolean confirmed) {
		this.state.outbox().addReadResult(new ReadResult(read.ticket(), confirmed, read.index()));
	}

	/**
	 * A read that is not completed yet.
	 */
	private record PendingRead(long ticket, long round, long index) {
	}

}
