package org.vanillatrestle.internal.log;

import java.util.Objects;

/**
 * An entry of the log.
 * <p>
 * Immutable and thread safe.
 *
 * @param index the place in the log, from 1
 * @param term the term of the leader that proposed it
 * @param body what it holds
 */
public record LogEntry(long index, long term, EntryBody body) {

	private static final int OVERHEAD_BYTES = 48;

	public LogEntry {
		Objects.requireNonNull(body, "body");
	}

	/**
	 * The room the entry takes in memory and messages.
	 * @return an estimate in bytes
	 */
	public int sizeBytes() {
		return OVERHEAD_BYTES + this.body.sizeBytes();
	}

}
