package org.vanillatrestle.internal.log;

import java.util.List;

/**
 * What a replicated log wants done. Messages may go at once; writes must be carried out
 * in order and synced before {@link ReplicatedLog#synced} is told their number.
 * <p>
 * Immutable and thread safe.
 *
 * @param messages to send, in order
 * @param writes to carry out, in order
 * @param writeNumber the number of the last write ever asked for
 * @param stateChanges for the state machine, in order
 * @param reads the read rounds that ended
 */
public record Outputs(List<LogEnvelope> messages, List<DiskWrite> writes, long writeNumber,
		List<StateChange> stateChanges, List<ReadResult> reads) {

	/**
	 * Whether there is nothing to do.
	 * @return true without any output
	 */
	public boolean isEmpty() {
		return this.messages.isEmpty() && this.writes.isEmpty() && this.stateChanges.isEmpty() && this.reads.isEmpty();
	}

}
