package org.vanillatrestle.bench.internal.standin;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Keeps past load so that reports lag behind the truth.
 * <p>
 * Not thread safe.
 */
public final class LoadHistory {

	private final long lagNanos;

	private final Deque<Sample> samples = new ArrayDeque<>();

	private LoadReport visible = LoadReport.IDLE;

	/**
	 * Creates a history.
	 * @param lagNanos how old a report must be before it is seen
	 */
	public LoadHistory(long lagNanos) {
		this.lagNanos = lagNanos;
	}

	/**
	 * Adds the load of now.
	 * @param nowNanos the monotonic time
	 * @param report the load
	 */
	public void add(long nowNanos, LoadReport report) {
		this.samples.addLast(new Sample(nowNanos, report));
	}

	/**
	 * Returns the newest report that is older than the lag.
	 * @param nowNanos the monotonic time
	 * @return the report, idle if none is old enough
	 */
	public LoadReport at(long nowNanos) {
		while (!this.samples.isEmpty() && nowNanos - this.samples.peekFirst().takenNanos() >= this.lagNanos) {
			this.visible = this.samples.removeFirst().report();
		}
		return this.visible;
	}

	private record Sample(long takenNanos, LoadReport report) {

	}

}
