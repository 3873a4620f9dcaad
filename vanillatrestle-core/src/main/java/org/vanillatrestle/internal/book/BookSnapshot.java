package org.vanillatrestle.internal.book;

import java.util.List;

/**
 * The whole state of a contract book at one index.
 * <p>
 * Immutable and thread safe. Equal books give equal snapshots.
 *
 * @param appliedIndex the index of the last command that was applied
 * @param customers all customers that ever had a contract, ascending by index
 * @param contractRecords the audit records of contract changes
 * @param vmRecords the audit records of VM events
 */
public record BookSnapshot(long appliedIndex, List<CustomerState> customers, List<AuditRecord> contractRecords,
		List<AuditRecord> vmRecords) {

	public BookSnapshot {
		customers = List.copyOf(customers);
		contractRecords = List.copyOf(contractRecords);
		vmRecords = List.copyOf(vmRecords);
	}

	/**
	 * The state of one customer.
	 *
	 * @param entry the latest change
	 * @param history the revisions that are kept, ascending
	 * @param callers every caller that ever was in force
	 */
	public record CustomerState(BookEntry entry, List<RevisionRecord> history, List<CallerRecord> callers) {

		public CustomerState {
			history = List.copyOf(history);
			callers = List.copyOf(callers);
		}

	}

}
