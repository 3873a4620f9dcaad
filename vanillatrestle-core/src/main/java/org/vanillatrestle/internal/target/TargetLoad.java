package org.vanillatrestle.internal.target;

/**
 * The load that a target reported; it lags behind the truth.
 * <p>
 * Immutable and thread safe.
 *
 * @param running requests being processed
 * @param queued requests waiting at the target
 * @param cacheUsePercent share of the prefix cache in use, 0 to 100
 */
public record TargetLoad(int running, int queued, int cacheUsePercent) {

	/**
	 * The load of a target that does nothing.
	 */
	public static final TargetLoad IDLE = new TargetLoad(0, 0, 0);

}
