package org.vanillatrestle.internal.book;

import java.util.Optional;

import org.vanillatrestle.Contract;

/**
 * The outcome of a {@link BookCommand}.
 * <p>
 * Immutable and thread safe.
 */
public sealed interface BookOutcome {

	/**
	 * The change was accepted and is in force.
	 *
	 * @param index the index of the change in the replicated log
	 * @param revision the revision now in force
	 */
	record Accepted(long index, long revision) implements BookOutcome {
	}

	/**
	 * The same change was accepted before; the operator receives the same response again.
	 *
	 * @param index the index under which the change was accepted
	 * @param revision the revision of the change
	 */
	record Repeated(long index, long revision) implements BookOutcome {
	}

	/**
	 * The change was refused because its revision does not directly follow the revision
	 * in force, or because there is no contract to remove.
	 *
	 * @param revision the revision in force, 0 if the customer never had a contract
	 * @param inForce the contract in force, empty if there is none
	 * @param reason the cause of the conflict and, if there is one, the expected revision
	 */
	record Conflict(long revision, Optional<Contract> inForce, String reason) implements BookOutcome {
	}

	/**
	 * The change was refused because its document is invalid or violates a rule that
	 * spans several revisions or customers.
	 *
	 * @param path the path of the invalid element in the document
	 * @param reason what is invalid and how to correct it
	 */
	record Invalid(String path, String reason) implements BookOutcome {
	}

	/**
	 * A VM event was recorded in the audit trail.
	 */
	record VmEventRecorded() implements BookOutcome {
	}

}
