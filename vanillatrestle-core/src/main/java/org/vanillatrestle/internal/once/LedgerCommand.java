package org.vanillatrestle.internal.once;

import java.util.Objects;
import java.util.Optional;

import org.vanillatrestle.CallerName;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.OnceKey;
import org.vanillatrestle.VmId;

/**
 * A command that the once ledger applies after the replicated log has committed it.
 * <p>
 * Immutable and thread safe. No command contains a wall-clock time.
 */
public sealed interface LedgerCommand {

	/**
	 * Opens a newly created ledger. Ignored if the ledger is already open.
	 *
	 * @param generation the first generation, 1 or greater; it must differ from all
	 * generations of earlier ledgers of the data centre
	 * @param afterLoss whether an earlier ledger of the data centre may have been lost
	 */
	record Open(long generation, boolean afterLoss) implements LedgerCommand {

		public Open {
			if (generation < 1) {
				throw new IllegalArgumentException("The generation must be 1 or greater, but is " + generation + ".");
			}
		}

	}

	/**
	 * Advances the ledger time by an interval that the leader measured with its monotonic
	 * clock. To avoid counting time twice, the leader must have led in one term for the
	 * whole interval.
	 *
	 * @param elapsedMillis the time since the leader's last tick in this term, in
	 * milliseconds
	 */
	record Tick(long elapsedMillis) implements LedgerCommand {
	}

	/**
	 * Claims a call before its first byte is sent to a target.
	 *
	 * @param key the call's key
	 * @param digest the digest of the call
	 * @param attempt the attempt; only the holder knows its id
	 * @param holder the VM that will run the attempt
	 * @param holderIncarnation the holder's incarnation
	 */
	record Claim(OnceKey key, RequestDigest digest, AttemptId attempt, VmId holder,
			long holderIncarnation) implements LedgerCommand {

		public Claim {
			Objects.requireNonNull(key, "key");
			Objects.requireNonNull(digest, "digest");
			Objects.requireNonNull(attempt, "attempt");
			Objects.requireNonNull(holder, "holder");
		}

	}

	/**
	 * Records that an attempt received its complete answer.
	 *
	 * @param key the call's key
	 * @param attempt the attempt
	 * @param answer the answer, empty if it is too large to store
	 */
	record Answer(OnceKey key, AttemptId attempt, Optional<StoredAnswer> answer) implements LedgerCommand {

		public Answer {
			Objects.requireNonNull(key, "key");
			Objects.requireNonNull(attempt, "attempt");
			Objects.requireNonNull(answer, "answer");
		}

	}

	/**
	 * Releases a claim. The holder guarantees that the attempt has sent nothing and never
	 * will.
	 *
	 * @param key the call's key
	 * @param attempt the attempt
	 */
	record Release(OnceKey key, AttemptId attempt) implements LedgerCommand {

		public Release {
			Objects.requireNonNull(key, "key");
			Objects.requireNonNull(attempt, "attempt");
		}

	}

	/**
	 * Records that an attempt ended without an answer and that the call may have run.
	 *
	 * @param key the call's key
	 * @param attempt the attempt
	 */
	record Abandon(OnceKey key, AttemptId attempt) implements LedgerCommand {

		public Abandon {
			Objects.requireNonNull(key, "key");
			Objects.requireNonNull(attempt, "attempt");
		}

	}

	/**
	 * Abandons the attempts of a VM that stopped or is no longer reachable, so that
	 * resends don't wait for them. An answer that arrives later is still recorded.
	 *
	 * @param holder the VM
	 * @param belowIncarnation attempts of lower incarnations are abandoned
	 */
	record AbandonHolder(VmId holder, long belowIncarnation) implements LedgerCommand {

		public AbandonHolder {
			Objects.requireNonNull(holder, "holder");
		}

	}

	/**
	 * Retires generations before they are due. Claims on their keys are refused
	 * afterwards.
	 *
	 * @param upToGeneration the last generation to retire; the current generation is
	 * never retired
	 */
	record Retire(long upToGeneration) implements LedgerCommand {
	}

	/**
	 * Deletes the stored answers of a caller, for example because its contract no longer
	 * allows the region. The ledger still records that the calls ran.
	 *
	 * @param customer the customer
	 * @param caller the caller
	 */
	record DropAnswers(CustomerId customer, CallerName caller) implements LedgerCommand {

		public DropAnswers {
			Objects.requireNonNull(customer, "customer");
			Objects.requireNonNull(caller, "caller");
		}

	}

}
