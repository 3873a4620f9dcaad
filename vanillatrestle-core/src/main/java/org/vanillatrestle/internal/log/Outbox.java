package org.vanillatrestle.internal.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Collects the outputs of the log. A message that depends on data being on disk, such as
 * a vote or an acknowledgement, is held back until every write requested before it is
 * synced; it is dropped if the term has changed in the meantime.
 * <p>
 * Not thread safe.
 */
final class Outbox {

	private final Deque<DeferredMessage> deferred = new ArrayDeque<>();

	private List<LogEnvelope> messages = new ArrayList<>();

	private List<DiskWrite> writes = new ArrayList<>();

	private List<StateChange> stateChanges = new ArrayList<>();

	private List<ReadResult> reads = new ArrayList<>();

	private long writeNumber;

	private long syncedWriteNumber;

	long write(DiskWrite write) {
		this.writes.add(write);
		this.writeNumber++;
		return this.writeNumber;
	}

	void send(LogEnvelope envelope) {
		this.messages.add(envelope);
	}

	void sendAfterSync(LogEnvelope envelope, long term) {
		if (this.syncedWriteNumber == this.writeNumber) {
			send(envelope);
			return;
		}
		this.deferred.add(new DeferredMessage(this.writeNumber, term, envelope));
	}

	void addStateChange(StateChange change) {
		this.stateChanges.add(change);
	}

	void addReadResult(ReadResult result) {
		this.reads.add(result);
	}

	long writeNumber() {
		return this.writeNumber;
	}

	long syncedWriteNumber() {
		return this.syncedWriteNumber;
	}

	void markSynced(long number, long currentTerm) {
		if (number > this.writeNumber) {
			throw new IllegalArgumentException("write " + number + " was never requested");
		}
		this.syncedWriteNumber = Math.max(this.syncedWriteNumber, number);
		while (!this.deferred.isEmpty() && this.deferred.peekFirst().writeNumber() <= this.syncedWriteNumber) {
			DeferredMessage ready = this.deferred.removeFirst();
			if (ready.term() == currentTerm) {
				send(ready.envelope());
			}
		}
	}

	void discardMessagesAndWrites() {
		this.deferred.clear();
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
	 * A message held back until a write is synced.
	 */
	private record DeferredMessage(long writeNumber, long term, LogEnvelope envelope) {
	}

}
