package org.vanillatrestle.internal.fleet;

/**
 * What a target says of itself.
 * <p>
 * Immutable and thread safe. In order: an incarnation never goes back to an earlier
 * condition.
 */
public enum TargetCondition {

	/**
	 * It takes requests.
	 */
	READY,

	/**
	 * It is about to leave and takes no new requests.
	 */
	DRAINING,

	/**
	 * It has left or was replaced.
	 */
	GONE;

	/**
	 * Returns the later of two conditions of one incarnation.
	 * @param other the other condition
	 * @return the one that holds
	 */
	TargetCondition orLater(TargetCondition other) {
		return (compareTo(other) >= 0) ? this : other;
	}

}
