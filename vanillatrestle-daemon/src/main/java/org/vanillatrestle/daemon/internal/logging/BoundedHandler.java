package org.vanillatrestle.daemon.internal.logging;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Writes log lines on a thread of its own and drops lines rather than wait.
 * <p>
 * Thread safe. Memory is bounded by {@link #QUEUE_LINES}; what was dropped is counted and
 * said in the log.
 */
public final class BoundedHandler extends Handler {

	private static final int QUEUE_LINES = 4_096;

	/**
	 * Lines are gathered for so long, so that a busy process writes many with one call.
	 */
	private static final long GATHER_MILLIS = 50;

	private final ArrayBlockingQueue<LogRecord> queue = new ArrayBlockingQueue<>(QUEUE_LINES);

	private final AtomicLong dropped = new AtomicLong();

	private final OutputStream output;

	private final Thread writer;

	private volatile boolean stopping;

	/**
	 * Creates a handler and starts its thread.
	 * @param output where lines go
	 */
	public BoundedHandler(OutputStream output) {
		this.output = output;
		setFormatter(new JsonFormatter());
		this.writer = new Thread(this::run, "log-writer");
		this.writer.setDaemon(true);
		this.writer.start();
	}

	@Override
	public void publish(LogRecord event) {
		if (isLoggable(event) && !this.stopping && !this.queue.offer(event)) {
			this.dropped.incrementAndGet();
		}
	}

	@Override
	public void flush() {
		// the writing thread flushes after each batch
	}

	/**
	 * Returns the lines dropped so far.
	 * @return the number
	 */
	public long dropped() {
		return this.dropped.get();
	}

	private void run() {
		List<LogRecord> batch = new ArrayList<>();
		long told = 0;
		try {
			while (!this.stopping || !this.queue.isEmpty()) {
				LogRecord first = this.queue.poll(1, TimeUnit.SECONDS);
				if (first == null) {
					continue;
				}
				if (!this.stopping) {
					Thread.sleep(GATHER_MILLIS);
				}
				batch.add(first);
				this.queue.drainTo(batch);
				told = write(batch, told);
				batch.clear();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private long write(List<LogRecord> batch, long told) {
		long lost = this.dropped.get();
		try {
			for (LogRecord event : batch) {
				this.output.write(getFormatter().format(event).getBytes(StandardCharsets.UTF_8));
			}
			if (lost > told) {
				this.output.write(("{\"event\":\"log-lines-dropped\",\"total\":" + lost + "}\n")
					.getBytes(StandardCharsets.UTF_8));
			}
			this.output.flush();
		}
		catch (IOException ex) {
			this.dropped.addAndGet(batch.size());
		}
		return lost;
	}

	/**
	 * Writes what waits, for a short time at most.
	 */
	@Override
	public void close() {
		this.stopping = true;
		try {
			this.writer.join(200);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
