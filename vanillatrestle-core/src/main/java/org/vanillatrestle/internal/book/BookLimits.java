package org.vanillatrestle.internal.book;

/**
 * Bounds on what a contract book keeps.
 * <p>
 * Immutable and thread safe. All replicas of one book must be given equal limits, as they
 * take part in what a command does.
 *
 * @param maxContracts how many customers may have or have had a contract
 * @param maxHistory how many revisions are kept per customer
 * @param maxCallersEver how many caller names and how many keys a customer may use over
 * time
 * @param maxContractRecords how many audit records of contract changes are kept
 * @param maxVmRecords how many audit records of VM events are kept
 * @param auditRetentionMillis for how long audit records are kept, in milliseconds
 */
public record BookLimits(int maxContracts, int maxHistory, int maxCallersEver, int maxContractRecords, int maxVmRecords,
		long auditRetentionMillis) {

	/**
	 * The limits when settings give none.
	 */
	public static final BookLimits DEFAULT = new BookLimits(20_000, 32, 10_000, 20_000, 10_000,
			90L * 24 * 60 * 60 * 1000);

	public BookLimits {
		if (maxContracts < 1 || maxHistory < 1 || maxCallersEver < 1 || maxContractRecords < 1 || maxVmRecords < 1
				|| auditRetentionMillis < 1) {
			throw new IllegalArgumentException("Every limit of the contract book is at least 1.");
		}
	}

}
