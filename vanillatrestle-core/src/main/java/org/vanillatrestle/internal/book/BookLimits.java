package org.vanillatrestle.internal.book;

/**
 * Limits on what a contract book keeps.
 * <p>
 * Immutable and thread safe. All replicas of a book must have the same limits, because
 * the outcome of a command depends on them.
 *
 * @param maxCustomers the maximum number of customers that have or had a contract
 * @param maxRevisionsPerCustomer the maximum number of revisions kept per customer
 * @param maxCallersOverTime the maximum number of caller names, and also the maximum
 * number of bearer keys, that a customer may use over time, including removed ones
 * @param maxContractAuditRecords the maximum number of audit records of contract changes
 * @param maxVmAuditRecords the maximum number of audit records of VM events
 * @param auditRetentionMillis the time for which audit records are kept, in milliseconds
 */
public record BookLimits(int maxCustomers, int maxRevisionsPerCustomer, int maxCallersOverTime,
		int maxContractAuditRecords, int maxVmAuditRecords, long auditRetentionMillis) {

	/**
	 * The default limits, used if the settings specify none.
	 */
	public static final BookLimits DEFAULT = new BookLimits(20_000, 32, 10_000, 20_000, 10_000,
			90L * 24 * 60 * 60 * 1000);

	public BookLimits {
		if (maxCustomers < 1 || maxRevisionsPerCustomer < 1 || maxCallersOverTime < 1 || maxContractAuditRecords < 1
				|| maxVmAuditRecords < 1 || auditRetentionMillis < 1) {
			throw new IllegalArgumentException("Every limit of the contract book must be at least 1.");
		}
	}

}
