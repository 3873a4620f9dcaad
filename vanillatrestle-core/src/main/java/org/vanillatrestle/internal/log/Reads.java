package org.vanillatrestle.internal.log;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Reads that wait until a quorum has confirmed the leader after they were asked for.
 * <p>
 * A read is confirmed with a commit index no lower than any acknowledged before it began.
 * Not thread safe.
 */
final class Reads {

	private final LogState state;

	private final Replication replication;

	private final Deque<Pending> pending = new ArrayDeque<>();

	private long lastTicket;

	Reads(LogState state, Replication replication) {
		this.state = state;
		this.replication = replication;
	}

	long request() {
		this.lastTicket++;
		if (!this.state.isLeader() || !this.replication.hasCommittedInTerm()) {
			this.state.outbox().read(new ReadResult(this.lastTicket, false, this.state.appliedIndex()));
			return this.lastTicket;
		}
		long round = this.replication.beginRound();
		this.pending.addLast(new Pending(this.lastTicket, round, this.state.commitIndex()));
		return this.lastTicket;
	}

	/**
	 * Ends what can be ended.
	 */
	void flush() {
		if (!this.state.isLeader()) {
			this.pending.forEach((read) -> end(read, false));
			this.pending.clear();
			return;
		}
		while (!this.pending.isEmpty() && this.replication.isConfirmed(this.pending.peekFirst().round())) {
			end(this.pending.removeFirst(), true);
		}
	}

	private void end(Pending read, boolean confirmed) {
		this.state.outbox().read(new ReadResult(read.ticket(), confirmed, read.index()));
	}

	/**
	 * A read that is not ended yet.
	 */
	private record Pending(long ticket, long round, long index) {
	}

}
