package org.vanillatrestle.internal.book;

import java.util.Objects;

import org.vanillatrestle.CustomerId;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.VmId;

/**
 * A command that the contract book applies once the replicated log has committed it.
 * <p>
 * Immutable and thread safe. The time in a command is the wall-clock time of the VM that
 * proposed it. It is displayed and recorded in the audit trail but does not affect
 * whether a change is accepted.
 */
public sealed interface BookCommand {

	/**
	 * Returns the time at which the command was proposed.
	 * @return the time, in milliseconds since 1970
	 */
	long proposedAtMillis();

	/**
	 * Puts a contract in force.
	 *
	 * @param operator the operator's name
	 * @param customer the customer to whose contract the operator sent the document
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
	 * Removes a contract. The removal has a revision of its own.
	 *
	 * @param operator the operator's name
	 * @param customer the customer
	 * @param revision the revision of the removal, one above the revision in force
	 * @param proposedAtMillis the time of the proposal, in milliseconds since 1970
	 */
	record Remove(String operator, CustomerId customer, long revision, long proposedAtMillis) implements BookCommand {

		public Remove {
			Objects.requireNonNull(operator, "operator");
			Objects.requireNonNull(customer, "customer");
		}

	}

	/**
	 * Records an event of a VM in the audit trail.
	 *
	 * @param reporter the VM that observed the event
	 * @param vm the VM concerned
	 * @param region the region of the VM concerned
	 * @param event the event
	 * @param proposedAtMillis the time of the proposal, in milliseconds since 1970
	 */
	record RecordVmEvent(VmId reporter, VmId vm, RegionId region, AuditEvent event,
			long proposedAtMillis) implements BookCommand {

		public RecordVmEvent {
			Objects.requireNonNull(reporter, "reporter");
			Objects.requireNonNull(vm, "vm");
			Objects.requireNonNull(region, "region");
			if (!event.isVmEvent()) {
				throw new IllegalArgumentException("The event " + event + " is not a VM event.");
			}
		}

	}

}
