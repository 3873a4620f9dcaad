package org.vanillatrestle.internal.once;

import java.util.Optional;

import org.vanillatrestle.Verdict;

/**
 * What the ledger can tell of a key without a claim.
 * <p>
 * Immutable and thread safe.
 *
 * @param knowledge what is known
 * @param answer the stored answer, if there is one
 */
public record KeyStatus(Knowledge knowledge, Optional<StoredAnswer> answer) {

	/**
	 * Returns what a caller may conclude.
	 * @return the verdict
	 */
	public Verdict verdict() {
		return this.knowledge.verdict();
	}

	/**
	 * How much is known of a key. {@link Verdict#NOT_RUN} is never concluded, as a claim
	 * may be under way: whoever must know sends the call again under the same key.
	 */
	public enum Knowledge {

		/**
		 * No attempt was recorded, or the last one was released.
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
		 * The ledger no longer knows, or never knew, keys of this kind.
		 */
		FORGOTTEN;

		Verdict verdict() {
			return (this == ANSWERED || this == ANSWERED_WITHOUT_COPY) ? Verdict.RAN : Verdict.MAY_HAVE_RUN;
		}

	}

}
