package org.vanillatrestle.internal.book;

import java.util.Objects;

import org.vanillatrestle.CustomerId;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.VmId;

/**
 * A command that the contract book applies once the replicated log has committed it.
 * <p>
 * Immutable and thread safe. The time in a command is wall-clock time of the VM that
 * proposed it; it is shown and audited, but decides nothing.
 */
public sealed interface BookCommand {

	/**
	 * Returns when the command was proposed.
	 * @return milliseconds since 1970
	 */
	long proposedAtMillis();

	/**
	 * Brings a contract into force.
	 *
	 * @param operator the operator's name
	 * @param customer the customer that the operator addressed
	 * @param document the contract as JSON
	 * @param proposedAtMillis the time of the proposal, in milliseconds since 1970
	 */
	record Apply(String operator, CustomerId customer, String document, long proposedAtMillis) implements BookCommand {

		public Apply {
			Objects.requireNonNull(operator, "operator");
			Objects.requireNonNull(customer, "customer");
			Objects.requireNonNull(document, "document");
		}

	}

	/**
	 * Removes a contract; the removal is a revision too.
	 *
	 * @param operator the operator's name
	 * @param customer the customer
	 * @param revision the removal's own number, one above what is in force
	 * @param proposedAtMillis the time of the proposal, in milliseconds since 1970
	 */
	record Remove(String operator, CustomerId customer, long revision, long proposedAtMillis) implements BookCommand {

		public Remove {
			Objects.requireNonNull(operator, "operator");
			Objects.requireNonNull(customer, "customer");
		}

	}

	/**
	 * Notes in the audit trail what became of a VM.
	 *
	 * @param reporter the VM that saw it
	 * @param vm the VM concerned
	 * @param region the region of the VM concerned
	 * @param event what became of it
	 * @param proposedAtMillis the time of the proposal, in milliseconds since 1970
	 */
	record NoteVm(VmId reporter, VmId vm, RegionId region, AuditEvent event,
			long proposedAtMillis) implements BookCommand {

		public NoteVm {
			Objects.requireNonNull(reporter, "reporter");
			Objects.requireNonNull(vm, "vm");
			Objects.requireNonNull(region, "region");
			if (!event.concernsVm()) {
				throw new IllegalArgumentException("The event " + event + " does not concern a VM.");
			}
		}

	}

}
