package org.vanillatrestle.internal.fleet;

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
