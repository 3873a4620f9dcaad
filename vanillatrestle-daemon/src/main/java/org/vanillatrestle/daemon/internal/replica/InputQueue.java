package org.vanillatrestle.daemon.internal.replica;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * The queue of inputs that a replica's thread has yet to handle.
 * <p>
 * Invariant: for each submitted input, either its step runs on the replica's thread or
 * its cancellation runs. Thread safe.
 */
final class InputQueue {

	private final BlockingQueue<Input> inputs;

	private volatile boolean closing;

	private volatile boolean terminated;

	InputQueue(int limit) {
		this.inputs = new LinkedBlockingQueue<>(limit);
	}

	/**
	 * Submits an input. The cancellation runs at once if the queue is full or closed.
	 * @param step runs on the replica's thread
	 * @param cancellation runs instead of the step if the input is rejected or cancelled
	 */
	void submit(Runnable step, Runnable cancellation) {
		boolean accepted = !this.closing && this.inputs.offer(new Input(step, cancellation));
		if (!accepted) {
			cancellation.run();
		}
		else if (this.terminated) {
			cancelAll();
		}
	}

	/**
	 * Runs a batch of queued steps. Called by the replica's thread.
	 * @param waitNanos the longest wait for the first step, in nanoseconds
	 * @param limit the maximum number of steps
	 * @throws InterruptedException if the thread is interrupted
	 */
	void runBatch(long waitNanos, int limit) throws InterruptedException {
		List<Input> batch = new ArrayList<>();
		Input first = this.inputs.poll(waitNanos, TimeUnit.NANOSECONDS);
		if (first != null) {
			batch.add(first);
			this.inputs.drainTo(batch, limit - 1);
		}
		batch.forEach((input) -> input.step().run());
	}

	/**
	 * Rejects all inputs that are submitted from now on.
	 */
	void close() {
		this.closing = true;
	}

	boolean isClosing() {
		return this.closing;
	}

	/**
	 * Cancels all queued inputs because the replica's thread has ended.
	 */
	void terminate() {
		this.terminated = true;
		cancelAll();
	}

	private void cancelAll() {
		List<Input> cancelled = new ArrayList<>();
		this.inputs.drainTo(cancelled);
		cancelled.forEach((input) -> input.cancellation().run());
	}

	private record Input(Runnable step, Runnable cancellation) {
	}

}
