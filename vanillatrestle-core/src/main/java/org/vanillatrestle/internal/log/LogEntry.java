package org.vanillatrestle.internal.log;

import java.util.Objects;

/**
 * An entry of the replicated log.
 * <p>
 * Immutable and thread safe.
 *
 * @param index the position in the log, starting at 1
 * @param term the term of the leader that appended it
 * @param body the content
 */
public record LogEntry(long index, long term, EntryBody body) {

	private static final int OVERHEAD_BYTES = 48;

	public LogEntry {
		Objects.requireNonNull(body, "body");
	}

	/**
	 * The approximate size of the entry in memory and in messages.
	 * @return the estimated size in bytes
	 */
	public int sizeBytes() {
		return OVERHEAD_BYTES + this.body.sizeBytes();
	}

}
