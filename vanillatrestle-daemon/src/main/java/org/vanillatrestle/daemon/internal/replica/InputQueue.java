package org.vanillatrestle.daemon.internal.replica;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * What waits for a replica's thread.
 * <p>
 * Invariant: of each input that was submitted either the step runs, on the replica's
 * thread, or the cancellation. Thread safe.
 */
final class InputQueue {

	private final BlockingQueue<Input> inputs;

	private volatile boolean closing;

	private volatile boolean ended;

	InputQueue(int limit) {
		this.inputs = new LinkedBlockingQueue<>(limit);
	}

	/**
	 * Submits something to do.
	 * @param step runs on the replica's thread
	 * @param cancellation runs instead where the replica does not take it
	 */
	void submit(Runnable step, Runnable cancellation) {
		boolean taken = !this.closing && this.inputs.offer(new Input(step, cancellation));
		if (!taken) {
			cancellation.run();
		}
		else if (this.ended) {
			cancelAll();
		}
	}

	/**
	 * Runs the steps that wait, on the replica's thread.
	 * @param waitNanos how long to wait for the first one
	 * @param limit the most steps
	 * @throws InterruptedException if the thread is interrupted
	 */
	void run(long waitNanos, int limit) throws InterruptedException {
		List<Input> batch = new ArrayList<>();
		Input first = this.inputs.poll(waitNanos, TimeUnit.NANOSECONDS);
		if (first != null) {
			batch.add(first);
			this.inputs.drainTo(batch, limit - 1);
		}
		batch.forEach((input) -> input.step().run());
	}

	/**
	 * Takes nothing more.
	 */
	void close() {
		this.closing = true;
	}

	boolean isClosing() {
		return this.closing;
	}

	/**
	 * Cancels what waits, as no thread will run it.
	 */
	void end() {
		this.ended = true;
		cancelAll();
	}

	private void cancelAll() {
		List<Input> waiting = new ArrayList<>();
		this.inputs.drainTo(waiting);
		waiting.forEach((input) -> input.cancellation().run());
	}

	private record Input(Runnable step, Runnable cancellation) {
	}

}
