package org.vanillatrestle.internal.once;

/**
 * State of a call that has a once key.
 * <p>
 * Immutable and thread safe.
 */
public enum OnceState {

	/**
	 * An attempt holds the claim and may be running.
	 */
	IN_PROGRESS,

	/**
	 * The call ran, and its complete answer was received.
	 */
	ANSWERED,

	/**
	 * The attempt ended without an answer, and the call may have run.
	 */
	ABANDONED,

	/**
	 * Nothing was sent to a target, and another attempt may claim the key.
	 */
	RELEASED;

	/**
	 * Returns whether the attempt may still be running, so that the ledger accepts its
	 * answer, release or abandonment.
	 * @return whether the holder may update the record
	 */
	public boolean canBeUpdatedByHolder() {
		return this == IN_PROGRESS || this == ABANDONED;
	}

}
