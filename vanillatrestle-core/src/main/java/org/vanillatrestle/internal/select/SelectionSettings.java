package org.vanillatrestle.internal.select;

/**
 * Settings of the selection of targets.
 * <p>
 * Immutable and thread safe.
 *
 * @param mode how one of the candidates is chosen
 * @param slowStartNanos how long a new or restarted target, or one whose ejection has
 * ended, takes to reach its full share of requests, in nanoseconds
 * @param failuresToEject the number of consecutive failures after which a target is
 * ejected
 * @param ejectionNanos the duration of the first ejection in nanoseconds; each further
 * ejection without a success in between lasts twice as long as the one before
 * @param maxEjectionNanos the longest duration of an ejection in nanoseconds
 * @param maxEjectedPercent the highest percentage of a pool's targets that may be ejected
 * at the same time
 * @param peerTtlNanos how long a peer's report of its requests in flight is valid, in
 * nanoseconds
 * @param maxUtilisationPercentOfMean the highest utilisation at which a target is chosen
 * for its rendezvous rank, in percent of the pool's mean utilisation
 */
public record SelectionSettings(SelectionMode mode, long slowStartNanos, int failuresToEject, long ejectionNanos,
		long maxEjectionNanos, int maxEjectedPercent, long peerTtlNanos, int maxUtilisationPercentOfMean) {

	private static final long SECOND_NANOS = 1_000_000_000L;

	/**
	 * The default settings.
	 */
	public static final SelectionSettings DEFAULTS = new SelectionSettings(SelectionMode.COST, 10 * SECOND_NANOS, 3,
			5 * SECOND_NANOS, 60 * SECOND_NANOS, 50, 3 * SECOND_NANOS, 125);

	/**
	 * Returns a copy of these settings with another selection mode.
	 * @param newMode the mode of the copy
	 * @return the copy
	 */
	public SelectionSettings mode(SelectionMode newMode) {
		return new SelectionSettings(newMode, this.slowStartNanos, this.failuresToEject, this.ejectionNanos,
				this.maxEjectionNanos, this.maxEjectedPercent, this.peerTtlNanos, this.maxUtilisationPercentOfMean);
	}

}
