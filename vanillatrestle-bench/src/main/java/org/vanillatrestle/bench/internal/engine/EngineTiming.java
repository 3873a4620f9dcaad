package org.vanillatrestle.bench.internal.engine;

import java.util.concurrent.TimeUnit;

/**
 * How long the stand-in engine takes.
 * <p>
 * Immutable and thread safe. One step gives each running sequence one token; it takes
 * {@code stepMicros + sequenceMicros * running}.
 *
 * @param stepMicros duration of a step without sequences
 * @param sequenceMicros what each running sequence adds to a step
 * @param prefillMicrosPerToken what each prompt token outside the prefix cache adds to
 * the time to the first token
 * @param maxRunning the most sequences in a batch; more wait
 * @param maxQueued the most that wait; more are refused with 503
 * @param cacheBlocks how many blocks of a prompt the prefix cache holds
 * @param loadLagMillis by how much load reports lag
 */
public record EngineTiming(long stepMicros, long sequenceMicros, long prefillMicrosPerToken, int maxRunning,
		int maxQueued, int cacheBlocks, long loadLagMillis) {

	/**
	 * A small engine: 10 ms a step and 0.1 ms more for each sequence.
	 */
	public static final EngineTiming DEFAULT = new EngineTiming(10_000, 100, 200, 64, 1000, 4096, 500);

	/**
	 * An engine that takes next to no time, for tests.
	 */
	public static final EngineTiming FAST = new EngineTiming(500, 1, 0, 4096, 10_000, 4096, 0);

	private static final long MICROS_PER_SECOND = TimeUnit.SECONDS.toMicros(1);

	/**
	 * Returns the duration of a step.
	 * @param running how many sequences run
	 * @param slowdown the factor of a fault, 1 for none
	 * @return the duration in nanoseconds
	 */
	public long stepNanos(int running, double slowdown) {
		return (long) (TimeUnit.MICROSECONDS.toNanos(this.stepMicros + this.sequenceMicros * running) * slowdown);
	}

	/**
	 * Returns the duration of a prefill.
	 * @param missTokens how many prompt tokens the cache lacks
	 * @param slowdown the factor of a fault, 1 for none
	 * @return the duration in nanoseconds
	 */
	public long prefillNanos(long missTokens, double slowdown) {
		return (long) (TimeUnit.MICROSECONDS.toNanos(this.prefillMicrosPerToken * missTokens) * slowdown);
	}

	/**
	 * Returns what a full batch generates.
	 * @return tokens per second
	 */
	public long tokensPerSecond() {
		return MICROS_PER_SECOND * this.maxRunning
				/ Math.max(1, this.stepMicros + this.sequenceMicros * this.maxRunning);
	}

}
