package org.vanillatrestle.wire;

import org.vanillatrestle.Verdict;

/**
 * How a forwarded attempt failed.
 * <p>
 * Immutable and thread safe. {@link Verdict#NOT_RUN} only if the request never was
 * written whole to the link, or its holder confirmed that it never will start.
 *
 * @param verdict whether the attempt may have run
 * @param code a short fixed name of the cause
 * @param message what happened, in one sentence
 * @param retryAfterMillis when to ask again, 0 if unknown
 * @param appliedIndex the holder's applied index of the contract book, 0 if unknown
 */
public record ForwardFailure(Verdict verdict, String code, String message, int retryAfterMillis, long appliedIndex) {

	/**
	 * Creates a failure without a hint when to ask again.
	 * @param verdict whether the attempt may have run
	 * @param code a short fixed name of the cause
	 * @param message what happened, in one sentence
	 */
	public ForwardFailure(Verdict verdict, String code, String message) {
		this(verdict, code, message, 0, 0);
	}

}
