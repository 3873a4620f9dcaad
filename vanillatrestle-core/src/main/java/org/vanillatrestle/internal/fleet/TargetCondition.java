package org.vanillatrestle.internal.fleet;

/**
 * What a target says of itself.
 * <p>
 * Immutable and thread safe.
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
	GONE

}
