package org.vanillatrestle.internal.fleet;

/**
 * The condition that a target reports.
 * <p>
 * Immutable and thread safe. The constants are ordered: an incarnation never returns to
 * an earlier condition.
 */
public enum TargetCondition {

	/**
	 * The target accepts requests.
	 */
	READY,

	/**
	 * The target is shutting down and accepts no new requests.
	 */
	DRAINING,

	/**
	 * The target has left or was replaced.
	 */
	GONE;

	/**
	 * Returns the later of two conditions of one incarnation.
	 * @param other the other condition
	 * @return the later condition
	 */
	TargetCondition orLater(TargetCondition other) {
		return (compareTo(other) >= 0) ? this : other;
	}

}
