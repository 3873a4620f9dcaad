package org.vanillatrestle;

/**
 * What a customer's contract asks the router to weigh most.
 * <p>
 * Immutable and thread safe.
 */
public enum Objective {

	/**
	 * Prefer cheap targets; slower answers are tolerated within the deadline.
	 */
	COST,

	/**
	 * Prefer targets with the lowest predicted tail latency.
	 */
	TAIL_LATENCY

}
