package org.vanillatrestle.internal.target;

/**
 * The load that a target reported; it lags behind the actual load.
 * <p>
 * Immutable and thread safe.
 *
 * @param running the number of requests being processed
 * @param queued the number of requests waiting at the target
 * @param cacheUsePercent the share of the prefix cache in use, as a percentage from 0 to
 * 100
 */
public record TargetLoad(int running, int queued, int cacheUsePercent) {

	/**
	 * The load of an idle target.
	 */
	public static final TargetLoad IDLE = new TargetLoad(0, 0, 0);

}
