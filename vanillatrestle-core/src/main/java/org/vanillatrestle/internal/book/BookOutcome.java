package org.vanillatrestle.internal.book;

import java.util.Optional;

import org.vanillatrestle.Contract;

/**
 * What became of a {@link BookCommand}.
 * <p>
 * Immutable and thread safe.
 */
public sealed interface BookOutcome {

	/**
	 * The change is in force.
	 *
	 * @param index the change's index in the replicated log
	 * @param revision the revision now in force
	 */
	record Accepted(long index, long revision) implements BookOutcome {
	}

	/**
	 * The same change was accepted before; the operator gets the same answer again.
	 *
	 * @param index the index under which the change was accepted
	 * @param revision the change's revision
	 */
	record Repeated(long index, long revision) implements BookOutcome {
	}

	/**
	 * The change does not follow what is in force.
	 *
	 * @param revision the revision in force, 0 if the customer never had a contract
	 * @param inForce the contract in force, empty if there is none
	 * @param reason what does not fit and what to do
	 */
	record Conflict(long revision, Optional<Contract> inForce, String reason) implements BookOutcome {
	}

	/**
	 * The document has a fault or breaks a rule between revisions.
	 *
	 * @param path the path of the fault in the document
	 * @param reason what is wrong and how to mend it
	 */
	record Invalid(String path, String reason) implements BookOutcome {
	}

	/**
	 * An event was noted in the audit trail.
	 */
	record Noted() implements BookOutcome {
	}

}
