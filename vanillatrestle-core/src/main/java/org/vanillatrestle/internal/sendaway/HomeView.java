package org.vanillatrestle.internal.sendaway;

/**
 * What staying at home would mean for a request.
 * <p>
 * Immutable and thread safe.
 *
 * @param hasTargets whether any target is alive
 * @param waitNanos expected wait before the target starts, in nanoseconds
 * @param costMicros price of the target that would be chosen, in millionths of the
 * currency
 * @param coldNanos time lost where the prompt's prefix is not cached, in nanoseconds
 * @param answerTokens usual tokens of an answer
 * @param pending other requests that were let through and are not placed yet
 */
public record HomeView(boolean hasTargets, long waitNanos, long costMicros, long coldNanos, double answerTokens,
		int pending) {

}
