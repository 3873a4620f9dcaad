package org.vanillatrestle;

/**
 * The objective that a customer's contract sets for the choice of targets.
 * <p>
 * Immutable and thread safe.
 */
public enum Objective {

	/**
	 * Prefer cheap targets; slower responses are accepted as long as they meet the
	 * deadline.
	 */
	COST,

	/**
	 * Prefer targets with the lowest predicted tail latency.
	 */
	TAIL_LATENCY

}
