package org.vanillatrestle.internal.request;

/**
 * Why a request was given up before it was sent to a target.
 * <p>
 * Immutable and thread safe.
 */
public enum RefusalReason {

	/**
	 * The contract's limit on requests a second is used up.
	 */
	RATE(true),

	/**
	 * The contract's limit on tokens a second is used up.
	 */
	TOKENS(true),

	/**
	 * The contract's limit on requests in flight is used up.
	 */
	IN_FLIGHT(true),

	/**
	 * Too much other work waits for the targets.
	 */
	OVERLOAD(false),

	/**
	 * The answer can't be ready before the deadline.
	 */
	DEADLINE(false),

	/**
	 * No allowed target is left to try.
	 */
	NO_TARGET(false);

	private final boolean contractLimit;

	RefusalReason(boolean contractLimit) {
		this.contractLimit = contractLimit;
	}

	/**
	 * Tells whether a limit of the contract is the reason, not a lack of capacity.
	 * @return whether the contract's limit was reached
	 */
	public boolean contractLimit() {
		return this.contractLimit;
	}

}
