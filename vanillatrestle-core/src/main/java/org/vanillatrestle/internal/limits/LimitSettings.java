package org.vanillatrestle.internal.limits;

/**
 * Settings of the loans.
 * <p>
 * Immutable and thread safe. The lender waits longer than the borrower by the bound on
 * the rates of clocks, so that clocks may run at slightly different rates.
 *
 * @param loanNanos how long a loan lasts for the borrower, from when it asked
 * @param clockRatePercent how much faster a lender's clock may run than a borrower's
 * @param maxLentPercent greatest part of a VM's own share that it lends
 * @param newLendersPerTick VMs that are asked for the first time at each tick
 */
public record LimitSettings(long loanNanos, int clockRatePercent, int maxLentPercent, int newLendersPerTick) {

	/**
	 * The defaults.
	 */
	public static final LimitSettings DEFAULTS = new LimitSettings(8_000_000_000L, 5, 85, 4);

	/**
	 * Returns how long a lender must wait for a loan to end.
	 * @return nanoseconds
	 */
	long guardNanos() {
		return longer(this.loanNanos);
	}

	long longer(long nanos) {
		return nanos + nanos / 100 * this.clockRatePercent;
	}

}
