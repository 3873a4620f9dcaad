package org.vanillatrestle.internal.fleet;

import java.util.concurrent.TimeUnit;

import org.vanillatrestle.TargetId;

/**
 * What one VM, or several together, have in flight at a target.
 * <p>
 * Immutable and thread safe.
 *
 * @param target the target
 * @param requests the requests in flight
 * @param unreadTokens the prompt tokens of those that have not begun to answer
 * @param heldTokens the tokens of cache memory that all of them hold
 * @param readTokensPerSecond the prompt tokens sent to be read each second of late
 * @param longestPauseMillis the longest pause between two events of a stream seen of late
 */
public record FlightLoad(TargetId target, int requests, long unreadTokens, long heldTokens, long readTokensPerSecond,
		long longestPauseMillis) {

	/**
	 * How long tokens sent count: about as long as an answer that suffers from the
	 * reading of others, a few pauses of a stream.
	 */
	public static final long READING_FADES_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

	/**
	 * A load of which nothing is known but what is in flight.
	 * @param target the target
	 * @param requests the requests in flight
	 * @param unreadTokens the prompt tokens of those that have not begun to answer
	 * @param heldTokens the tokens of cache memory that all of them hold
	 */
	public FlightLoad(TargetId target, int requests, long unreadTokens, long heldTokens) {
		this(target, requests, unreadTokens, heldTokens, 0, 0);
	}

	/**
	 * Works out what is left of the tokens sent of late after a while without new ones.
	 * @param nanos the time since the load was taken
	 * @return the load, otherwise the same
	 */
	public FlightLoad fadedBy(long nanos) {
		return withReading(Math.round(this.readTokensPerSecond * remainingPart(nanos)));
	}

	/**
	 * Replaces the tokens sent of late.
	 * @param tokensPerSecond the prompt tokens sent to be read each second of late
	 * @return the load, otherwise the same
	 */
	public FlightLoad withReading(long tokensPerSecond) {
		return new FlightLoad(this.target, this.requests, this.unreadTokens, this.heldTokens, tokensPerSecond,
				this.longestPauseMillis);
	}

	/**
	 * What counts of tokens that were sent a while ago.
	 * @param nanos the time since they were sent
	 * @return a part of 1
	 */
	public static double remainingPart(long nanos) {
		return Math.exp(-Math.max(0, nanos) / (double) READING_FADES_NANOS);
	}

	/**
	 * Adds another VM's load of the same target.
	 * @param other the other load
	 * @return the sum
	 */
	public FlightLoad plus(FlightLoad other) {
		return new FlightLoad(this.target, this.requests + other.requests, this.unreadTokens + other.unreadTokens,
				this.heldTokens + other.heldTokens, this.readTokensPerSecond + other.readTokensPerSecond,
				Math.max(this.longestPauseMillis, other.longestPauseMillis));
	}

	/**
	 * Takes away a VM's load, but for what it sent and saw of late.
	 * @param other the other load
	 * @return the difference, at least 0 each
	 */
	public FlightLoad minus(FlightLoad other) {
		return new FlightLoad(this.target, Math.max(0, this.requests - other.requests),
				Math.max(0, this.unreadTokens - other.unreadTokens), Math.max(0, this.heldTokens - other.heldTokens),
				this.readTokensPerSecond, this.longestPauseMillis);
	}

}
