package org.vanillatrestle.internal.request;

/**
 * The reason why a request was refused before it was sent to a target.
 * <p>
 * Immutable and thread safe.
 */
public enum RefusalReason {

	/**
	 * The contract's limit on requests per second is reached.
	 */
	RATE(true),

	/**
	 * The contract's limit on tokens per second is reached.
	 */
	TOKENS(true),

	/**
	 * The contract's limit on requests in flight is reached.
	 */
	IN_FLIGHT(true),

	/**
	 * Too many other requests are waiting for the targets.
	 */
	OVERLOAD(false),

	/**
	 * The answer cannot be ready before the deadline.
	 */
	DEADLINE(false),

	/**
	 * No allowed target is available for another attempt.
	 */
	NO_TARGET(false);

	private final boolean dueToContractLimit;

	RefusalReason(boolean dueToContractLimit) {
		this.dueToContractLimit = dueToContractLimit;
	}

	/**
	 * Tells whether the request was refused because of a contract limit, as opposed to a
	 * lack of capacity.
	 * @return whether a contract limit was reached
	 */
	public boolean isContractLimit() {
		return this.dueToContractLimit;
	}

}
