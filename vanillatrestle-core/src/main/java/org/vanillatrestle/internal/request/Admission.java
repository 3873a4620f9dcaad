package org.vanillatrestle.internal.request;

/**
 * What admission says of a request that arrived.
 * <p>
 * Immutable and thread safe. A refused request was not run and is never held back.
 */
public sealed interface Admission permits Admission.Admitted, Admission.Queued, Admission.Refused {

	/**
	 * The request may be placed now.
	 *
	 * @param ticket to be released when the request has ended
	 */
	record Admitted(Ticket ticket) implements Admission {

	}

	/**
	 * The request waits; its ticket is returned once it is ready.
	 *
	 * @param ticket the request's place in the queue
	 */
	record Queued(Ticket ticket) implements Admission {

	}

	/**
	 * The request is given up.
	 *
	 * @param reason why
	 * @param retryAfterMillis when another attempt makes sense, in milliseconds
	 */
	record Refused(RefusalReason reason, long retryAfterMillis) implements Admission {

	}

}
