package org.vanillatrestle.daemon.internal.ledger;

import org.vanillatrestle.daemon.internal.pipeline.Refusal;
import org.vanillatrestle.daemon.internal.pipeline.Refusals;
import org.vanillatrestle.internal.once.LedgerOutcome;

/**
 * Converts the ledger's outcome of a refused claim to the error answer for the caller.
 * <p>
 * Stateless and thread safe.
 */
final class ClaimRefusals {

	private ClaimRefusals() {
	}

	static Refusal of(LedgerOutcome outcome, long retryAfterMillis) {
		if (outcome instanceof LedgerOutcome.DifferentRequest) {
			return Refusals.keyReused();
		}
		if (outcome instanceof LedgerOutcome.AnsweredWithoutCopy) {
			return Refusals.answerNotStored();
		}
		if (outcome instanceof LedgerOutcome.MayHaveRun mayHaveRun) {
			return Refusals.outcomeUnknown(describe(mayHaveRun.reason()));
		}
		if (outcome instanceof LedgerOutcome.NotGranted notGranted) {
			return Refusals.claimNotGranted(notGranted.reason().name(), retryAfterMillis);
		}
		return Refusals.internalError();
	}

	private static String describe(LedgerOutcome.Reason reason) {
		return switch (reason) {
			case RETIRED_GENERATION -> "the ledger no longer keeps records of keys this old";
			case QUARANTINE -> "the ledger was recreated and may have lost the record of this key";
			case ENDED_WITHOUT_ANSWER -> "the attempt ended without an answer";
		};
	}

}
