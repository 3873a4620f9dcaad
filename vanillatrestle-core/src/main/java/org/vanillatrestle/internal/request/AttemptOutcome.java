package org.vanillatrestle.internal.request;

/**
 * The outcome of an attempt, as used to assess the target's health.
 * <p>
 * Immutable and thread safe.
 */
public enum AttemptOutcome {

	/**
	 * The complete answer arrived.
	 */
	COMPLETED(false),

	/**
	 * The target or the link failed, or the target answered with an error.
	 */
	FAILED(true),

	/**
	 * The target refused the request for lack of capacity.
	 */
	REFUSED(true),

	/**
	 * No connection to the target could be established; no byte was sent.
	 */
	UNREACHABLE(true),

	/**
	 * No answer arrived in time.
	 */
	TIMED_OUT(true),

	/**
	 * The caller disconnected, or another attempt answered first.
	 */
	CANCELLED(false);

	private final boolean targetFailure;

	AttemptOutcome(boolean targetFailure) {
		this.targetFailure = targetFailure;
	}

	/**
	 * Tells whether the outcome counts as a failure of the target.
	 * @return whether it counts
	 */
	public boolean isTargetFailure() {
		return this.targetFailure;
	}

}
