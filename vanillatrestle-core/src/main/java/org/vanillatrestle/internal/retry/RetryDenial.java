package org.vanillatrestle.internal.retry;

/**
 * The reason why a request is not sent again.
 * <p>
 * Immutable and thread safe.
 */
public enum RetryDenial {

	/**
	 * The request may have run and must not run twice.
	 */
	NOT_REPEATABLE,

	/**
	 * The request has used all its attempts.
	 */
	ATTEMPTS,

	/**
	 * The deadline is too close.
	 */
	TIME,

	/**
	 * The service's retry budget is used up.
	 */
	BUDGET

}
