package org.vanillatrestle.internal.once;

/**
 * Bounds on what a once ledger keeps.
 * <p>
 * Immutable and thread safe. All replicas of one ledger must be given equal limits, as
 * they take part in what a command does.
 *
 * @param maxRecords how many records are kept
 * @param maxAnswerBytes the largest answer that is stored, in bytes
 * @param maxAnswersBytes how much all stored answers may take up, in bytes
 * @param retentionMillis for how long a record is kept at least, in milliseconds of the
 * ledger's own time
 * @param generationMillis after what time a new generation opens, in milliseconds of the
 * ledger's own time
 */
public record LedgerLimits(int maxRecords, int maxAnswerBytes, long maxAnswersBytes, long retentionMillis,
		long generationMillis) {

	/**
	 * The limits when settings give none.
	 */
	public static final LedgerLimits DEFAULT = new LedgerLimits(50_000, 64 * 1024, 16L * 1024 * 1024,
			24L * 60 * 60 * 1000, 60L * 60 * 1000);

	public LedgerLimits {
		if (maxRecords < 1 || maxAnswerBytes < 0 || maxAnswersBytes < 0 || retentionMillis < 1
				|| generationMillis < 1) {
			throw new IllegalArgumentException("The limits of the once ledger must be positive.");
		}
	}

}
