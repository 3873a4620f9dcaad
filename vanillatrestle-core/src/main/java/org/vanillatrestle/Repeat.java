package org.vanillatrestle;

/**
 * Specifies whether a call may be run more than once.
 * <p>
 * Immutable and thread safe.
 */
public enum Repeat {

	/**
	 * Running the call twice has the same effect as running it once.
	 */
	IDEMPOTENT,

	/**
	 * The call must never run twice.
	 */
	AT_MOST_ONCE;

	/**
	 * Returns the default for a call that matches no rule of the contract.
	 * @param method the HTTP method, in upper case
	 * @return {@link #IDEMPOTENT} for GET, HEAD and OPTIONS, otherwise
	 * {@link #AT_MOST_ONCE}
	 */
	public static Repeat defaultFor(String method) {
		return switch (method) {
			case "GET", "HEAD", "OPTIONS" -> IDEMPOTENT;
			default -> AT_MOST_ONCE;
		};
	}

}
