package org.vanillatrestle.internal.gateway;

import org.vanillatrestle.internal.declaration.DeclaredRoute;

/**
 * How long the stream of a route may be silent.
 * <p>
 * Immutable and thread safe.
 *
 * @param callerMillis the time without an event, in milliseconds, after which callers
 * abandon a stream
 * @param stallMillis the time without an event, in milliseconds, after which another
 * target is tried for a stream that has begun
 */
public record StreamPatience(long callerMillis, long stallMillis) {

	/**
	 * Callers never abandon a stream after a shorter silence.
	 */
	private static final long MIN_CALLER_MILLIS = 2_000;

	private static final int CALLER_OBJECTIVE_FACTOR = 4;

	private static final int CALLER_PAUSE_FACTOR = 8;

	private static final long MIN_STALL_MILLIS = 1_200;

	/**
	 * A sound target resumes a preempted stream within about a second, so that a longer
	 * silence than this says more about the target than about its load.
	 */
	private static final long MAX_USUAL_SILENCE_MILLIS = 2_000;

	/**
	 * A stream whose pauses are near the route's objective is not stalled.
	 */
	private static final double PAUSE_STALL_FACTOR = 1.5;

	/**
	 * Returns the limits of a route's streams.
	 * @param route the route
	 * @return the limits
	 */
	public static StreamPatience of(DeclaredRoute route) {
		long callerMillis = Math.max(MIN_CALLER_MILLIS,
				Math.max(CALLER_OBJECTIVE_FACTOR * route.latencyObjectiveMillis(),
						CALLER_PAUSE_FACTOR * route.pauseObjectiveMillis()));
		long pauseMillis = Math.round(PAUSE_STALL_FACTOR * route.pauseObjectiveMillis());
		long usualMillis = Math.max(MIN_STALL_MILLIS, Math.min(MAX_USUAL_SILENCE_MILLIS, callerMillis / 2));
		return new StreamPatience(callerMillis, Math.max(usualMillis, pauseMillis));
	}

}
