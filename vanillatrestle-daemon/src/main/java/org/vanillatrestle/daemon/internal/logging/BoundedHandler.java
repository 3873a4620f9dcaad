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
 * Log handler that writes lines on a background thread. It never blocks the caller: lines
 * that don't fit into the queue are dropped.
 * <p>
 * Thread safe. Memory use is bounded, as at most {@link #MAX_QUEUED_LINES} lines are
 * queued. Dropped lines are counted, and the log reports their total number.
 */
public final class BoundedHandler extends Handler {

	private static final int MAX_QUEUED_LINES = 4_096;

	/**
	 * Delay in milliseconds before a batch is written, so that a busy process flushes
	 * many lines at once.
	 */
	private static final long BATCH_DELAY_MILLIS = 50;

	private final ArrayBlockingQueue<LogRecord> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);

	private final AtomicLong droppedLines = new AtomicLong();

	private final OutputStream output;

	private final Thread writer;

	private volatile boolean stopping;

	/**
	 * Creates a handler and starts its thread.
	 * @param output the stream that receives the lines
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
			this.droppedLines.incrementAndGet();
		}
	}

	@Override
	public void flush() {
		// the writer thread flushes after each batch
	}

	/**
	 * Returns the number of lines dropped so far.
	 * @return the number of lines
	 */
	public long droppedLines() {
		return this.droppedLines.get();
	}

	private void run() {
		List<LogRecord> batch = new ArrayList<>();
		long reported = 0;
		try {
			while (!this.stopping || !this.queue.isEmpty()) {
				LogRecord first = this.queue.poll(1, TimeUnit.SECONDS);
				if (first == null) {
					continue;
				}
				if (!this.stopping) {
					Thread.sleep(BATCH_DELAY_MILLIS);
				}
				batch.add(first);
				this.queue.drainTo(batch);
				reported = write(batch, reported);
				batch.clear();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private long write(List<LogRecord> batch, long reported) {
		long total = this.droppedLines.get();
		try {
			for (LogRecord event : batch) {
				this.output.write(getFormatter().format(event).getBytes(StandardCharsets.UTF_8));
			}
			if (total > reported) {
				this.output.write(("{\"event\":\"log-lines-dropped\",\"total\":" + total + "}\n")
					.getBytes(StandardCharsets.UTF_8));
			}
			this.output.flush();
		}
		catch (IOException ex) {
			this.droppedLines.addAndGet(batch.size());
		}
		return total;
	}

	/**
	 * Stops accepting lines and waits at most 200 ms until the queued lines are written.
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
