package org.vanillatrestle.internal.log;

import java.util.List;

/**
 * The actions that the owner of a replicated log must carry out. Messages may be sent
 * immediately. Writes must be executed in order and synced before their number is passed
 * to {@link ReplicatedLog#synced}.
 * <p>
 * Immutable and thread safe.
 *
 * @param messages the messages to send, in order
 * @param writes the writes to execute, in order
 * @param writeNumber the number of the last write requested since the replica started
 * @param stateChanges the changes for the state machine, in order
 * @param reads the results of the reads that completed
 */
public record Outputs(List<LogEnvelope> messages, List<DiskWrite> writes, long writeNumber,
		List<StateChange> stateChanges, List<ReadResult> reads) {

	/**
	 * Whether there is nothing to do.
	 * @return true if there are no messages, writes, state changes or read results
	 */
	public boolean isEmpty() {
		return this.messages.isEmpty() && this.writes.isEmpty() && this.stateChanges.isEmpty() && this.reads.isEmpty();
	}

}
