package org.vanillatrestle.internal.once;

import java.util.Objects;
import java.util.Optional;

import org.vanillatrestle.CallerName;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.OnceKey;
import org.vanillatrestle.VmId;

/**
 * A command that the once ledger applies once the replicated log has committed it.
 * <p>
 * Immutable and thread safe. No command holds a wall-clock time.
 */
public sealed interface LedgerCommand {

	/**
	 * Opens a ledger that was newly created. Later ones are ignored.
	 *
	 * @param generation the first generation; it must differ from those of an earlier
	 * ledger of the data centre, 1 or greater
	 * @param afterLoss whether an earlier ledger of the data centre may have been lost
	 */
	record Open(long generation, boolean afterLoss) implements LedgerCommand {

		public Open {
			if (generation < 1) {
				throw new IllegalArgumentException("A generation is 1 or greater, not " + generation + ".");
			}
		}

	}

	/**
	 * Tells that time went by, as measured by the leader's monotonic clock. The leader
	 * must have led in one term over the whole time, lest time be counted twice.
	 *
	 * @param elapsedMillis the time since the leader's last tick in this term, in
	 * milliseconds
	 */
	record Tick(long elapsedMillis) implements LedgerCommand {
	}

	/**
	 * Claims a call before its first byte goes to a target.
	 *
	 * @param key the call's key
	 * @param digest the digest of the call
	 * @param attempt the attempt, which the holder alone knows
	 * @param holder the VM that will run the attempt
	 * @param holderIncarnation the holder's incarnation
	 */
	record Claim(OnceKey key, BodyDigest digest, AttemptId attempt, VmId holder,
			long holderIncarnation) implements LedgerCommand {

		public Claim {
			Objects.requireNonNull(key, "key");
			Objects.requireNonNull(digest, "digest");
			Objects.requireNonNull(attempt, "attempt");
			Objects.requireNonNull(holder, "holder");
		}

	}

	/**
	 * Records that an attempt got its whole answer.
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
	 * Gives a claim back. The holder vows that the attempt sent nothing and never will.
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
	 * Records that an attempt ended without an answer and may have run.
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
	 * Records that a VM ended or is no longer heard of: none of its attempts is waited
	 * for. An answer that still comes is recorded.
	 *
	 * @param holder the VM
	 * @param belowIncarnation the incarnation below which attempts are given up
	 */
	record AbandonHolder(VmId holder, long belowIncarnation) implements LedgerCommand {

		public AbandonHolder {
			Objects.requireNonNull(holder, "holder");
		}

	}

	/**
	 * Retires generations early. Their keys are refused from then on.
	 *
	 * @param upToGeneration the last generation to retire; the current one stays
	 */
	record Retire(long upToGeneration) implements LedgerCommand {
	}

	/**
	 * Drops the stored answers of a caller, for example because its contract no longer
	 * allows the region. That the calls ran stays known.
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
