package org.vanillatrestle.internal.once;

/**
 * How far a call with a once key has come.
 * <p>
 * Immutable and thread safe.
 */
public enum OnceState {

	/**
	 * An attempt holds the claim and may be running.
	 */
	IN_PROGRESS,

	/**
	 * The call ran, and its whole answer was received.
	 */
	ANSWERED,

	/**
	 * The attempt ended without an answer and may have run.
	 */
	ABANDONED,

	/**
	 * Nothing was sent; another attempt may claim.
	 */
	RELEASED;

	/**
	 * Tells whether an attempt may still be running.
	 * @return whether the holder's answer or release is accepted
	 */
	public boolean isOpen() {
		return this == IN_PROGRESS || this == ABANDONED;
	}

}
