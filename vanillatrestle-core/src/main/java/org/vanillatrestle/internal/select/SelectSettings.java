package org.vanillatrestle.internal.select;

/**
 * Settings of the selection.
 * <p>
 * Immutable and thread safe.
 *
 * @param mode how a candidate is chosen
 * @param slowStartNanos how long a target that came back takes to reach its full share
 * @param failuresToEject failures in a row after which a target is ejected
 * @param ejectionNanos how long the first ejection lasts; each further one doubles it
 * @param maxEjectionNanos the longest ejection
 * @param maxEjectedPercent greatest share of a pool that may be ejected
 * @param peerTtlNanos how long a peer's report of its requests in flight counts
 * @param useBoundPercent bound of a target's use for prefix affinity, in percent of the
 * pool's mean
 */
public record SelectSettings(SelectionMode mode, long slowStartNanos, int failuresToEject, long ejectionNanos,
		long maxEjectionNanos, int maxEjectedPercent, long peerTtlNanos, int useBoundPercent) {

	private static final long SECOND_NANOS = 1_000_000_000L;

	/**
	 * The defaults.
	 */
	public static final SelectSettings DEFAULTS = new SelectSettings(SelectionMode.COST, 10 * SECOND_NANOS, 3,
			5 * SECOND_NANOS, 60 * SECOND_NANOS, 50, 3 * SECOND_NANOS, 125);

	/**
	 * Returns the same settings with another mode.
	 * @param newMode the mode
	 * @return the settings
	 */
	public SelectSettings mode(SelectionMode newMode) {
		return new SelectSettings(newMode, this.slowStartNanos, this.failuresToEject, this.ejectionNanos,
				this.maxEjectionNanos, this.maxEjectedPercent, this.peerTtlNanos, this.useBoundPercent);
	}

}
