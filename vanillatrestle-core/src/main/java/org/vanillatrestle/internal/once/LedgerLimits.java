package org.vanillatrestle.internal.once;

/**
 * Limits on what a once ledger stores.
 * <p>
 * Immutable and thread safe. All replicas of a ledger must have the same limits, because
 * the limits affect the outcomes of commands.
 *
 * @param maxRecords the maximum number of records
 * @param maxAnswerBytes the maximum size of one stored answer, in bytes
 * @param maxAnswersBytes the maximum total size of all stored answers, in bytes
 * @param retentionMillis the minimum time for which a record is kept, in milliseconds of
 * ledger time
 * @param generationMillis the time after which a new generation opens, in milliseconds of
 * ledger time
 */
public record LedgerLimits(int maxRecords, int maxAnswerBytes, long maxAnswersBytes, long retentionMillis,
		long generationMillis) {

	/**
	 * The limits that apply if the settings specify none.
	 */
	public static final LedgerLimits DEFAULT = new LedgerLimits(50_000, 64 * 1024, 16L * 1024 * 1024,
			24L * 60 * 60 * 1000, 60L * 60 * 1000);

	public LedgerLimits {
		if (maxRecords < 1 || maxAnswerBytes < 0 || maxAnswersBytes < 0 || retentionMillis < 1
				|| generationMillis < 1) {
			throw new IllegalArgumentException(
					"The limits of the once ledger must be positive, or at least 0 for answers.");
		}
	}

}
