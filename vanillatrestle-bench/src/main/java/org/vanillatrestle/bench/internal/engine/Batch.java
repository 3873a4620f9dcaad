package org.vanillatrestle.bench.internal.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.vanillatrestle.bench.internal.standin.FaultSwitch;
import org.vanillatrestle.bench.internal.standin.LoadReport;

/**
 * Continuous batching: each step gives one token to each running sequence, and a waiting
 * sequence joins as soon as another has ended, the highest priority first.
 * <p>
 * Not thread safe; confined to the engine's event loop. At most one step is scheduled.
 */
final class Batch {

	private final EngineTiming timing;

	private final PrefixCache cache;

	private final FaultSwitch faults;

	private final List<Sequence> running = new ArrayList<>();

	private final PriorityQueue<Sequence> waiting = new PriorityQueue<>(
			Comparator.comparingInt(Sequence::priority).reversed().thenComparingLong(Sequence::number));

	private boolean stepScheduled;

	Batch(EngineTiming timing, FaultSwitch faults) {
		this.timing = timing;
		this.faults = faults;
		this.cache = new PrefixCache(timing.cacheBlocks());
	}

	/**
	 * Adds a sequence.
	 * @param sequence the sequence
	 * @param executor the engine's event loop
	 * @return whether there was room
	 */
	boolean add(Sequence sequence, ScheduledExecutorService executor) {
		if (this.running.size() >= this.timing.maxRunning() && this.waiting.size() >= this.timing.maxQueued()) {
			return false;
		}
		this.waiting.add(sequence);
		admit();
		schedule(executor);
		return true;
	}

	void cancel(Sequence sequence) {
		this.running.remove(sequence);
		this.waiting.remove(sequence);
		admit();
	}

	void clearCache() {
		this.cache.clear();
	}

	LoadReport load() {
		return new LoadReport(this.running.size(), this.waiting.size(), this.cache.usePercent());
	}

	private void admit() {
		while (this.running.size() < this.timing.maxRunning() && !this.waiting.isEmpty()) {
			Sequence sequence = this.waiting.remove();
			long missTokens = this.cache.load(sequence.prompt());
			long prefillNanos = this.timing.prefillNanos(missTokens, sequence.fault().slowdown());
			sequence.readyAt(System.nanoTime() + prefillNanos);
			this.running.add(sequence);
		}
	}

	private void schedule(ScheduledExecutorService executor) {
		if (this.stepScheduled || this.running.isEmpty()) {
			return;
		}
		this.stepScheduled = true;
		long delayNanos = this.timing.stepNanos(this.running.size(), this.faults.current().slowdown());
		executor.schedule(() -> step(executor), delayNanos, TimeUnit.NANOSECONDS);
	}

	private void step(ScheduledExecutorService executor) {
		this.stepScheduled = false;
		long nowNanos = System.nanoTime();
		for (Sequence sequence : List.copyOf(this.running)) {
			if (sequence.isReady(nowNanos) && !sequence.step()) {
				this.running.remove(sequence);
			}
		}
		admit();
		schedule(executor);
	}

}
