package org.vanillatrestle.bench.internal.experiment;

import java.util.PriorityQueue;

/**
 * Runs events in the order of their virtual time, ties in the order of their scheduling.
 * <p>
 * Not thread safe.
 */
final class EventLoop {

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private long nowNanos;

	private long nextSequence;

	long nowNanos() {
		return this.nowNanos;
	}

	void after(long delayNanos, Runnable action) {
		this.events.add(new Event(this.nowNanos + Math.max(0, delayNanos), this.nextSequence++, action));
	}

	void at(long atNanos, Runnable action) {
		after(atNanos - this.nowNanos, action);
	}

	void every(long periodNanos, long offsetNanos, Runnable action) {
		after(offsetNanos, () -> {
			action.run();
			every(periodNanos, periodNanos, action);
		});
	}

	void runUntil(long endNanos) {
		while (!this.events.isEmpty() && this.events.peek().atNanos <= endNanos) {
			Event event = this.events.poll();
			this.nowNanos = event.atNanos;
			event.action.run();
		}
	}

	private record Event(long atNanos, long sequence, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int byTime = Long.compare(this.atNanos, other.atNanos);
			return (byTime != 0) ? byTime : Long.compare(this.sequence, other.sequence);
		}

	}

}
