package org.vanillatrestle.internal.once;

import java.util.Optional;

import org.vanillatrestle.Verdict;

/**
 * What the ledger knows about a key, read without claiming it.
 * <p>
 * Immutable and thread safe.
 *
 * @param knowledge what is known about the key's call
 * @param answer the stored answer, or empty if none is stored
 */
public record KeyStatus(Knowledge knowledge, Optional<StoredAnswer> answer) {

	/**
	 * Returns what a caller may conclude about whether the call ran.
	 * @return the verdict
	 */
	public Verdict verdict() {
		return this.knowledge.verdict();
	}

	/**
	 * What is known about a key. The verdict is never {@link Verdict#NOT_RUN}, because a
	 * claim may still be in transit. A caller that needs certainty sends the call again
	 * with the same key.
	 */
	public enum Knowledge {

		/**
		 * No attempt has been recorded, or the last one was released.
		 */
		NO_ATTEMPT,

		/**
		 * An attempt may be running.
		 */
		IN_PROGRESS,

		/**
		 * The call ran and its answer is stored.
		 */
		ANSWERED,

		/**
		 * The call ran, but its answer is not stored.
		 */
		ANSWERED_WITHOUT_COPY,

		/**
		 * The last attempt ended without an answer.
		 */
		ENDED_WITHOUT_ANSWER,

		/**
		 * The ledger may once have had a record of this key: the key's generation is not
		 * live, or the key is opaque and its record may have expired or been lost.
		 */
		FORGOTTEN;

		Verdict verdict() {
			return (this == ANSWERED || this == ANSWERED_WITHOUT_COPY) ? Verdict.RAN : Verdict.MAY_HAVE_RUN;
		}

	}

}
