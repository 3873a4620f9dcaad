package org.vanillatrestle.internal.sendaway;

/**
 * Settings of sending away.
 * <p>
 * Immutable and thread safe. The band between entering and leaving is the hysteresis.
 *
 * @param enterGainNanos expected time won above which a pool begins to send away
 * @param leaveGainNanos expected time won below which it stops
 * @param enterSavingPercent saving above which a pool with objective {@code COST} begins
 * @param leaveSavingPercent saving below which it stops
 * @param maxRemoteUsePercent use of the remote slots above which nothing is sent there
 * for its price
 * @param summaryTtlNanos how long a summary counts
 * @param refusalNanos how long a data centre that refused is left alone
 */
public record SendAwaySettings(long enterGainNanos, long leaveGainNanos, int enterSavingPercent, int leaveSavingPercent,
		int maxRemoteUsePercent, long summaryTtlNanos, long refusalNanos) {

	/**
	 * The defaults.
	 */
	public static final SendAwaySettings DEFAULTS = new SendAwaySettings(30_000_000, 0, 30, 15, 40, 5_000_000_000L,
			1_000_000_000);

}
