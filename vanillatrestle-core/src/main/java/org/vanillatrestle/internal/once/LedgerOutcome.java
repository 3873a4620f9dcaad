package org.vanillatrestle.internal.once;

/**
 * What became of a {@link LedgerCommand}.
 * <p>
 * Immutable and thread safe.
 */
public sealed interface LedgerOutcome {

	/**
	 * The attempt holds the claim and may send the call, once.
	 */
	record Granted() implements LedgerOutcome {
	}

	/**
	 * The call ran; every resend gets this answer.
	 *
	 * @param answer the stored answer
	 */
	record AlreadyAnswered(StoredAnswer answer) implements LedgerOutcome {
	}

	/**
	 * The call ran, but its answer is not stored.
	 */
	record AnsweredWithoutCopy() implements LedgerOutcome {
	}

	/**
	 * Another attempt runs; wait for its answer.
	 *
	 * @param holder the attempt that holds the claim
	 */
	record InProgress(AttemptId holder) implements LedgerOutcome {
	}

	/**
	 * The key was used for another call. The status is 409.
	 */
	record DifferentBody() implements LedgerOutcome {
	}

	/**
	 * An earlier attempt may have run, and no answer is known.
	 *
	 * @param reason why nothing better is known
	 */
	record MayHaveRun(Reason reason) implements LedgerOutcome {
	}

	/**
	 * The claim is not granted, and this attempt has no part in the call.
	 *
	 * @param reason why
	 */
	record NotGranted(Refusal reason) implements LedgerOutcome {
	}

	/**
	 * The command took effect, or had taken effect before.
	 */
	record Done() implements LedgerOutcome {
	}

	/**
	 * The command had no effect, as the attempt does not hold the claim.
	 */
	record Ignored() implements LedgerOutcome {
	}

	/**
	 * Why it is not known whether a call ran.
	 */
	enum Reason {

		/**
		 * The key's generation is retired or belongs to a ledger that was lost.
		 */
		RETIRED_GENERATION,

		/**
		 * The ledger is new after a loss, and the key is older perhaps.
		 */
		QUARANTINE,

		/**
		 * The attempt that held the claim ended without an answer.
		 */
		ENDED_WITHOUT_ANSWER

	}

	/**
	 * Why a claim is not granted though nothing ran under it.
	 */
	enum Refusal {

		/**
		 * The ledger is not open yet.
		 */
		NOT_OPEN,

		/**
		 * The ledger holds as many records as it may.
		 */
		FULL,

		/**
		 * The attempt was released before.
		 */
		RELEASED,

		/**
		 * The VM's incarnation was given up; it must rejoin under a later one.
		 */
		HOLDER_ENDED

	}

}
