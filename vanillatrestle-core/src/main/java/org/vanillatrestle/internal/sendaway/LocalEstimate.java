package org.vanillatrestle.internal.sendaway;

/**
 * The estimated wait and cost of serving a request in this data centre instead of
 * forwarding it.
 * <p>
 * Immutable and thread safe.
 *
 * @param hasTargets whether any target of this data centre is reachable
 * @param waitNanos the expected wait until a target starts the request, in nanoseconds
 * @param costMicros the price of the request at the cheapest target, in millionths of the
 * currency
 * @param cacheMissNanos the additional time needed in a data centre that has not cached
 * the prompt's prefix, in nanoseconds
 * @param answerTokens the typical number of tokens in a response
 * @param pendingRequests the number of other requests that are admitted but not yet
 * placed
 */
public record LocalEstimate(boolean hasTargets, long waitNanos, long costMicros, long cacheMissNanos,
		double answerTokens, int pendingRequests) {

}
