package org.vanillatrestle.daemon.protocol;

import java.util.OptionalDouble;

/**
 * What the status and the headers of a target's answer say about it.
 * <p>
 * Immutable and thread safe.
 *
 * @param notRun whether the target guarantees that it has not run the request
 * @param promisesNotRun whether callers take the status for a promise that the request
 * has not run and never will
 * @param misdirected whether the answering target is not the one that the request
 * expected, which is no longer at this address
 * @param signed whether the answer carries the target's signature
 * @param encoded whether the body is encoded and so differs from what the target produced
 * @param leaving whether the target is leaving and should get no new requests
 * @param pauseMillis the time in milliseconds for which this VM should send the target no
 * requests, 0 if the target asked for no pause
 * @param requestsPerSecond the requests per second that the target takes from all VMs
 * together, {@link Double#POSITIVE_INFINITY} if it states that there is no limit, empty
 * if the answer says nothing about it
 */
public record AnswerMetadata(boolean notRun, boolean promisesNotRun, boolean misdirected, boolean signed,
		boolean encoded, boolean leaving, long pauseMillis, OptionalDouble requestsPerSecond) {

	/**
	 * Checks whether the status promises more than the target states. Such an answer must
	 * not be delivered: its request may have run, but a caller would repeat it.
	 * @return whether the status promises that the request has not run although the
	 * target does not guarantee it
	 */
	public boolean isUnprovenPromise() {
		return this.promisesNotRun && !this.notRun;
	}

}
