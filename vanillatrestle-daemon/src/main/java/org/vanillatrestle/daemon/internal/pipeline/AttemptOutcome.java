package org.vanillatrestle.daemon.internal.pipeline;

/**
 * How an attempt ended.
 * <p>
 * Immutable and thread safe.
 */
public enum AttemptOutcome {

	/**
	 * With a whole answer.
	 */
	ANSWERED,

	/**
	 * With a failure of the target or of the way to it.
	 */
	FAILED,

	/**
	 * The target refused or was overloaded.
	 */
	REFUSED,

	/**
	 * It was stopped: the caller went, or its deadline passed.
	 */
	CANCELLED

}
