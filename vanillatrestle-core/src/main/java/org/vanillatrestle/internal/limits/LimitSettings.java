package org.vanillatrestle.internal.limits;

/**
 * Settings of the loans of limit shares.
 * <p>
 * The clocks of two VMs may run at slightly different rates. A lender therefore reserves
 * a loan for longer than the borrower uses it, by the bound on that difference. Immutable
 * and thread safe.
 *
 * @param loanDurationNanos how long the borrower may use a loan, in nanoseconds from its
 * request
 * @param maxClockDriftPercent how much faster the lender's clock may run than the
 * borrower's, in percent
 * @param maxLentPercent the highest percentage of its own share that a VM lends
 * @param newLendersPerTick the highest number of VMs, beyond the current lenders, from
 * which a VM requests a loan at each tick
 */
public record LimitSettings(long loanDurationNanos, int maxClockDriftPercent, int maxLentPercent,
		int newLendersPerTick) {

	/**
	 * The default settings.
	 */
	public static final LimitSettings DEFAULTS = new LimitSettings(8_000_000_000L, 5, 85, 4);

	/**
	 * Returns how long a lender must wait until a loan has surely ended at the borrower.
	 * @return nanoseconds
	 */
	long lenderLoanDurationNanos() {
		return withClockDriftMargin(this.loanDurationNanos);
	}

	long withClockDriftMargin(long nanos) {
		return nanos + nanos / 100 * this.maxClockDriftPercent;
	}

}
