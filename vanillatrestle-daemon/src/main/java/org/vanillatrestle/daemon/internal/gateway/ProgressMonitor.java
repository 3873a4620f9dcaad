package org.vanillatrestle.daemon.internal.gateway;

import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

import io.netty.channel.EventLoop;
import org.vanillatrestle.internal.declaration.DeclaredRoute;
import org.vanillatrestle.internal.gateway.StreamPatience;

/**
 * Notices when an attempt makes no progress for longer than expected.
 * <p>
 * Used only on the VM's event loop.
 */
final class ProgressMonitor {

	/**
	 * An attempt is stalled if it makes no progress for this multiple of its expected
	 * time.
	 */
	private static final int EXPECTED_TIME_STALL_FACTOR = 5;

	/**
	 * Minimum time without the first event after which a stream is stalled.
	 */
	private static final long FIRST_EVENT_STALL_MILLIS = 1_500;

	/**
	 * Time between two notices of the same stall.
	 */
	private static final long REPEATED_NOTICE_MILLIS = 400;

	private final EventLoop loop;

	private final DeclaredRoute route;

	private final long expectedMillis;

	private final LongConsumer onStall;

	private long progressNanos;

	private boolean hasProgressed;

	private boolean stallNoticed;

	private boolean stopped;

	/**
	 * Creates a monitor.
	 * @param loop the VM's event loop
	 * @param route the request's route
	 * @param expectedMillis the expected time in milliseconds until the answer begins
	 * @param onStall receives the time in milliseconds without progress, repeatedly while
	 * the stall lasts
	 */
	ProgressMonitor(EventLoop loop, DeclaredRoute route, long expectedMillis, LongConsumer onStall) {
		this.loop = loop;
		this.route = route;
		this.expectedMillis = expectedMillis;
		this.onStall = onStall;
	}

	void start() {
		this.progressNanos = System.nanoTime();
		if (this.route.isRepeatable()) {
			schedule(stallMillis());
		}
	}

	void stop() {
		this.stopped = true;
	}

	/**
	 * Notes progress.
	 * @param nowNanos the monotonic time
	 */
	void recordProgress(long nowNanos) {
		this.progressNanos = nowNanos;
		this.hasProgressed = true;
		this.stallNoticed = false;
	}

	/**
	 * Restarts the time without progress, because the caller has stopped or begun to
	 * read.
	 * @param nowNanos the monotonic time
	 */
	void restart(long nowNanos) {
		this.progressNanos = nowNanos;
	}

	boolean hasProgressed() {
		return this.hasProgressed;
	}

	/**
	 * Returns the time since the last progress, or since the start.
	 * @param nowNanos the monotonic time
	 * @return the time in milliseconds
	 */
	long silentMillis(long nowNanos) {
		return TimeUnit.NANOSECONDS.toMillis(nowNanos - this.progressNanos);
	}

	/**
	 * Checks whether the present stall is noticed for the first time, and notes it.
	 * @return whether it is the first notice
	 */
	boolean isFirstNotice() {
		boolean first = !this.stallNoticed;
		this.stallNoticed = true;
		return first;
	}

	// the time without progress after which another target may be tried
	private long stallMillis() {
		long objective = this.route.latencyObjectiveMillis();
		if (!this.route.isStreaming()) {
			return Math.max(objective / 2, EXPECTED_TIME_STALL_FACTOR * this.expectedMillis);
		}
		return this.hasProgressed ? StreamPatience.of(this.route).stallMillis()
				: Math.max(FIRST_EVENT_STALL_MILLIS, EXPECTED_TIME_STALL_FACTOR * this.expectedMillis);
	}

	private void schedule(long delayMillis) {
		this.loop.schedule(this::check, Math.max(1, delayMillis), TimeUnit.MILLISECONDS);
	}

	private void check() {
		if (this.stopped) {
			return;
		}
		long silentMillis = silentMillis(System.nanoTime());
		long limitMillis = stallMillis();
		if (silentMillis < limitMillis) {
			schedule(limitMillis - silentMillis);
			return;
		}
		schedule(REPEATED_NOTICE_MILLIS);
		this.onStall.accept(silentMillis);
	}

}
