package org.vanillatrestle.internal.once;

/**
 * The outcome of applying a {@link LedgerCommand}.
 * <p>
 * Immutable and thread safe.
 */
public sealed interface LedgerOutcome {

	/**
	 * The attempt holds the claim and may send the call once.
	 */
	record Granted() implements LedgerOutcome {
	}

	/**
	 * The call ran, and every resend is given the stored answer.
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
	 * Another attempt holds the claim; the caller has to wait for its answer.
	 *
	 * @param holder the attempt that holds the claim
	 */
	record InProgress(AttemptId holder) implements LedgerOutcome {
	}

	/**
	 * The key was already used for a different call. The caller gets HTTP status 409.
	 */
	record DifferentRequest() implements LedgerOutcome {
	}

	/**
	 * An earlier attempt may have run, and its answer is not known.
	 *
	 * @param reason why the ledger can't tell whether the call ran
	 */
	record MayHaveRun(Reason reason) implements LedgerOutcome {
	}

	/**
	 * The claim is not granted, and this attempt must not send the call.
	 *
	 * @param reason why the claim is not granted
	 */
	record NotGranted(Refusal reason) implements LedgerOutcome {
	}

	/**
	 * The command took effect, either now or when it was applied before.
	 */
	record Done() implements LedgerOutcome {
	}

	/**
	 * The command had no effect, for example because the attempt does not hold the claim.
	 */
	record Ignored() implements LedgerOutcome {
	}

	/**
	 * Why the ledger can't tell whether a call ran.
	 */
	enum Reason {

		/**
		 * The key's generation has been retired or belongs to a lost ledger.
		 */
		RETIRED_GENERATION,

		/**
		 * The ledger was recreated after a loss, and the key may be older than it.
		 */
		QUARANTINE,

		/**
		 * The attempt that held the claim ended without an answer.
		 */
		ENDED_WITHOUT_ANSWER

	}

	/**
	 * Why a claim is not granted although the attempt has not run.
	 */
	enum Refusal {

		/**
		 * The ledger is not open yet.
		 */
		NOT_OPEN,

		/**
		 * The ledger has reached its maximum number of records.
		 */
		FULL,

		/**
		 * The attempt has already been released.
		 */
		RELEASED,

		/**
		 * The claims of the VM's incarnation have been abandoned. The VM must rejoin with
		 * a higher incarnation.
		 */
		HOLDER_ENDED

	}

}
