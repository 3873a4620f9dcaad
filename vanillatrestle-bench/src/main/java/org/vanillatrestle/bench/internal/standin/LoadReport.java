package org.vanillatrestle.bench.internal.standin;

/**
 * What a target reports of its load.
 * <p>
 * Immutable and thread safe.
 *
 * @param running requests being served
 * @param queued requests waiting
 * @param cacheUsePercent how full the prefix cache is, 0 to 100
 */
public record LoadReport(int running, int queued, int cacheUsePercent) {

	/**
	 * The report of an idle target.
	 */
	public static final LoadReport IDLE = new LoadReport(0, 0, 0);

}
