package org.vanillatrestle.internal.request;

/**
 * The admission decision for an incoming request.
 * <p>
 * Immutable and thread safe. A refused request was not executed and is not queued.
 */
public sealed interface Admission permits Admission.Admitted, Admission.Queued, Admission.Refused {

	/**
	 * The request may be placed now.
	 *
	 * @param ticket the ticket to release when the request has ended
	 */
	record Admitted(Ticket ticket) implements Admission {

	}

	/**
	 * The request is queued; the policy returns its ticket when the request can be placed
	 * or is refused.
	 *
	 * @param ticket the ticket of the queued request
	 */
	record Queued(Ticket ticket) implements Admission {

	}

	/**
	 * The request is refused.
	 *
	 * @param reason the reason for the refusal
	 * @param retryAfterMillis the time after which the caller should retry, in
	 * milliseconds
	 */
	record Refused(RefusalReason reason, long retryAfterMillis) implements Admission {

	}

}
