package org.vanillatrestle.internal.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Collects what the log wants done. A message that promises something is held until every
 * write asked for before it is synced; it is dropped when the term has moved on
 * meanwhile.
 * <p>
 * Not thread safe.
 */
final class Outbox {

	private final Deque<Held> held = new ArrayDeque<>();

	private List<LogEnvelope> messages = new ArrayList<>();

	private List<DiskWrite> writes = new ArrayList<>();

	private List<StateChange> stateChanges = new ArrayList<>();

	private List<ReadResult> reads = new ArrayList<>();

	private long writeNumber;

	private long syncedNumber;

	long write(DiskWrite write) {
		this.writes.add(write);
		this.writeNumber++;
		return this.writeNumber;
	}

	void send(LogEnvelope envelope) {
		this.messages.add(envelope);
	}

	void sendAfterSync(LogEnvelope envelope, long term) {
		if (this.syncedNumber == this.writeNumber) {
			send(envelope);
			return;
		}
		this.held.add(new Held(this.writeNumber, term, envelope));
	}

	void change(StateChange change) {
		this.stateChanges.add(change);
	}

	void read(ReadResult result) {
		this.reads.add(result);
	}

	long writeNumber() {
		return this.writeNumber;
	}

	long syncedNumber() {
		return this.syncedNumber;
	}

	void synced(long number, long currentTerm) {
		if (number > this.writeNumber) {
			throw new IllegalArgumentException("write " + number + " was never asked for");
		}
		this.syncedNumber = Math.max(this.syncedNumber, number);
		while (!this.held.isEmpty() && this.held.peekFirst().writeNumber() <= this.syncedNumber) {
			Held released = this.held.removeFirst();
			if (released.term() == currentTerm) {
				send(released.envelope());
			}
		}
	}

	void discardMessages() {
		this.held.clear();
		this.messages.clear();
		this.writes.clear();
	}

	Outputs take() {
		Outputs outputs = new Outputs(this.messages, this.writes, this.writeNumber, this.stateChanges, this.reads);
		this.messages = new ArrayList<>();
		this.writes = new ArrayList<>();
		this.stateChanges = new ArrayList<>();
		this.reads = new ArrayList<>();
		return outputs;
	}

	/**
	 * A message that waits for a write.
	 */
	private record Held(long writeNumber, long term, LogEnvelope envelope) {
	}

}
