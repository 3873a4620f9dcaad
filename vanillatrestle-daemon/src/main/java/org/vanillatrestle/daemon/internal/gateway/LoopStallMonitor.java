package org.vanillatrestle.daemon.internal.gateway;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;

/**
 * Notices that the event loop did not run for a while, because the process was frozen or
 * got no processor time. What it reads then may have arrived long before.
 * <p>
 * Used only on the VM's event loop.
 */
final class LoopStallMonitor {

	private static final long PERIOD_MILLIS = 100;

	/**
	 * A longer time without a tick is a stall.
	 */
	private static final long STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

	/**
	 * The time after a stall in which input may still be from before its end: connections
	 * that were waiting are accepted first and read later.
	 */
	private static final long RECENT_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final LongSupplier clockNanos;

	private long tickNanos;

	private long stalledNanos;

	LoopStallMonitor(LongSupplier clockNanos) {
		this.clockNanos = clockNanos;
		this.tickNanos = clockNanos.getAsLong();
		this.stalledNanos = this.tickNanos - RECENT_NANOS;
	}

	void start(EventLoop loop) {
		loop.execute(this::tick);
		loop.scheduleAtFixedRate(this::tick, PERIOD_MILLIS, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
	}

	void tick() {
		long now = this.clockNanos.getAsLong();
		if (now - this.tickNanos >= STALL_NANOS) {
			this.stalledNanos = now;
		}
		this.tickNanos = now;
	}

	/**
	 * Checks whether input that is read now may have arrived before a stall.
	 * @return whether the loop has stalled until now or a short time ago
	 */
	boolean hasStalledRecently() {
		long now = this.clockNanos.getAsLong();
		return now - this.tickNanos >= STALL_NANOS || now - this.stalledNanos < RECENT_NANOS;
	}

}
