package org.vanillatrestle.internal.fleet;

import java.util.concurrent.TimeUnit;

import org.vanillatrestle.TargetId;

/**
 * The load that one VM, or several VMs together, have in flight at a target.
 * <p>
 * Immutable and thread safe.
 *
 * @param target the target
 * @param requests the number of requests in flight
 * @param unreadTokens the prompt tokens of the requests whose answers have not started
 * @param cacheTokens the tokens of cache memory occupied by all requests in flight
 * @param promptTokensPerSecond the recent rate of prompt tokens sent to the target, in
 * tokens per second
 * @param longestPauseMillis the longest recent pause between two events of a stream, in
 * milliseconds
 */
public record InFlightLoad(TargetId target, int requests, long unreadTokens, long cacheTokens,
		long promptTokensPerSecond, long longestPauseMillis) {

	/**
	 * Time constant of the exponential decay of the prompt token rate, in nanoseconds.
	 * Roughly the time for which the prompt processing of other requests slows an answer
	 * down, which is a few pauses between the events of a stream.
	 */
	public static final long PROMPT_RATE_DECAY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

	/**
	 * Creates a load with a prompt token rate and a longest pause of 0.
	 * @param target the target
	 * @param requests the number of requests in flight
	 * @param unreadTokens the prompt tokens of the requests whose answers have not
	 * started
	 * @param cacheTokens the tokens of cache memory occupied by all requests in flight
	 */
	public InFlightLoad(TargetId target, int requests, long unreadTokens, long cacheTokens) {
		this(target, requests, unreadTokens, cacheTokens, 0, 0);
	}

	/**
	 * Decays the prompt token rate over a period in which no prompt tokens were sent.
	 * @param nanos the time since the load was measured, in nanoseconds
	 * @return a copy with the changed rate
	 */
	public InFlightLoad decayedBy(long nanos) {
		return withPromptRate(Math.round(this.promptTokensPerSecond * remainingFraction(nanos)));
	}

	/**
	 * Replaces the prompt token rate.
	 * @param tokensPerSecond the new rate, in prompt tokens per second
	 * @return a copy with the changed rate
	 */
	public InFlightLoad withPromptRate(long tokensPerSecond) {
		return new InFlightLoad(this.target, this.requests, this.unreadTokens, this.cacheTokens, tokensPerSecond,
				this.longestPauseMillis);
	}

	/**
	 * Returns the fraction of a prompt token rate that remains after a period.
	 * @param nanos the length of the period, in nanoseconds
	 * @return the fraction, from 0 to 1
	 */
	public static double remainingFraction(long nanos) {
		return Math.exp(-Math.max(0, nanos) / (double) PROMPT_RATE_DECAY_NANOS);
	}

	/**
	 * Adds the load that another VM has at the same target.
	 * @param other the other load
	 * @return the sum, with the longer of the two longest pauses
	 */
	public InFlightLoad plus(InFlightLoad other) {
		return new InFlightLoad(this.target, this.requests + other.requests, this.unreadTokens + other.unreadTokens,
				this.cacheTokens + other.cacheTokens, this.promptTokensPerSecond + other.promptTokensPerSecond,
				Math.max(this.longestPauseMillis, other.longestPauseMillis));
	}

	/**
	 * Subtracts a VM's load. The prompt token rate and the longest pause stay unchanged.
	 * @param other the load to subtract
	 * @return the difference, with each value at least 0
	 */
	public InFlightLoad minus(InFlightLoad other) {
		return new InFlightLoad(this.target, Math.max(0, this.requests - other.requests),
				Math.max(0, this.unreadTokens - other.unreadTokens), Math.max(0, this.cacheTokens - other.cacheTokens),
				this.promptTokensPerSecond, this.longestPauseMillis);
	}

}
