package org.vanillatrestle.internal.request;

/**
 * How an attempt ended, as far as the target's health is concerned.
 * <p>
 * Immutable and thread safe.
 */
public enum AttemptOutcome {

	/**
	 * The whole answer arrived.
	 */
	COMPLETED(false),

	/**
	 * The target or the link broke, or the target answered that it failed.
	 */
	FAILED(true),

	/**
	 * The target refused the request for lack of capacity.
	 */
	REFUSED(true),

	/**
	 * No connection to the target could be made; no byte was sent.
	 */
	UNREACHABLE(true),

	/**
	 * No answer came in time.
	 */
	TIMED_OUT(true),

	/**
	 * The caller left or another attempt answered first.
	 */
	CANCELLED(false);

	private final boolean speaksAgainstTarget;

	AttemptOutcome(boolean speaksAgainstTarget) {
		this.speaksAgainstTarget = speaksAgainstTarget;
	}

	/**
	 * Tells whether the outcome counts as a failure of the target.
	 * @return whether it counts
	 */
	public boolean speaksAgainstTarget() {
		return this.speaksAgainstTarget;
	}

}
