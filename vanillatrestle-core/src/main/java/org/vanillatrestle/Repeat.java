package org.vanillatrestle;

/**
 * Says whether a call may be sent to a target more than once.
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
	 * Returns the default for a call that no rule of the contract names.
	 * @param method the HTTP method, in upper case
	 * @return {@link #IDEMPOTENT} for GET, HEAD and OPTIONS, else {@link #AT_MOST_ONCE}
	 */
	public static Repeat defaultFor(String method) {
		return switch (method) {
			case "GET", "HEAD", "OPTIONS" -> IDEMPOTENT;
			default -> AT_MOST_ONCE;
		};
	}

}
