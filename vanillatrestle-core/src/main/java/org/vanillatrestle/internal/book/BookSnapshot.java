package org.vanillatrestle.internal.book;

import java.util.List;

/**
 * The complete state of a contract book at one log index.
 * <p>
 * Immutable and thread safe. Books with the same state produce equal snapshots.
 *
 * @param appliedIndex the index of the last applied command
 * @param customers all customers that have or had a contract, in ascending order of the
 * index of their latest change
 * @param contractAuditRecords the audit records of contract changes
 * @param vmAuditRecords the audit records of VM events
 */
public record BookSnapshot(long appliedIndex, List<CustomerState> customers, List<AuditRecord> contractAuditRecords,
		List<AuditRecord> vmAuditRecords) {

	public BookSnapshot {
		customers = List.copyOf(customers);
		contractAuditRecords = List.copyOf(contractAuditRecords);
		vmAuditRecords = List.copyOf(vmAuditRecords);
	}

	/**
	 * The state of one customer.
	 *
	 * @param entry the latest accepted change
	 * @param history the revisions that are kept, in ascending order
	 * @param callers every caller that is or was in force
	 */
	public record CustomerState(BookEntry entry, List<RevisionRecord> history, List<CallerRecord> callers) {

		public CustomerState {
			history = List.copyOf(history);
			callers = List.copyOf(callers);
		}

	}

}
