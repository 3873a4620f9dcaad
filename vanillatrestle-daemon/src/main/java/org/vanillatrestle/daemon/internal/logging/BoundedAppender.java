package org.vanillatrestle.daemon.internal.logging;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.UnsynchronizedAppenderBase;
import ch.qos.logback.core.encoder.Encoder;

/**
 * Writes log lines on a thread of its own and drops lines rather than wait.
 * <p>
 * Thread safe. Memory is bounded by {@link #QUEUE_LINES}; what was dropped is counted and
 * said in the log.
 */
public final class BoundedAppender extends UnsynchronizedAppenderBase<ILoggingEvent> {

	private static final int QUEUE_LINES = 4_096;

	/**
	 * Lines are gathered for so long, so that a busy process writes many with one call.
	 */
	private static final long GATHER_MILLIS = 50;

	private final ArrayBlockingQueue<ILoggingEvent> queue = new ArrayBlockingQueue<>(QUEUE_LINES);

	private final AtomicLong dropped = new AtomicLong();

	private final OutputStream output;

	private final Encoder<ILoggingEvent> events;

	private final Encoder<ILoggingEvent> others;

	private Thread writer;

	private volatile boolean stopping;

	/**
	 * Creates an appender.
	 * @param output where lines go
	 * @param events writes the lines of the structured log
	 * @param others writes all other lines
	 */
	public BoundedAppender(OutputStream output, Encoder<ILoggingEvent> events, Encoder<ILoggingEvent> others) {
		this.output = output;
		this.events = events;
		this.others = others;
	}

	@Override
	public void start() {
		this.writer = new Thread(this::run, "log-writer");
		this.writer.setDaemon(true);
		this.writer.start();
		super.start();
	}

	@Override
	protected void append(ILoggingEvent event) {
		event.prepareForDeferredProcessing();
		if (!this.queue.offer(event)) {
			this.dropped.incrementAndGet();
		}
	}

	/**
	 * Returns the lines dropped so far.
	 * @return the number
	 */
	public long dropped() {
		return this.dropped.get();
	}

	private void run() {
		List<ILoggingEvent> batch = new ArrayList<>();
		long told = 0;
		try {
			while (!this.stopping || !this.queue.isEmpty()) {
				ILoggingEvent first = this.queue.poll(1, TimeUnit.SECONDS);
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

	private long write(List<ILoggingEvent> batch, long told) {
		long lost = this.dropped.get();
		try {
			for (ILoggingEvent event : batch) {
				boolean structured = EventLog.CATEGORY.equals(event.getLoggerName());
				this.output.write((structured ? this.events : this.others).encode(event));
			}
			if (lost > told) {
				this.output.write(("{\"event\":\"log-lines-dropped\",\"total\":" + lost + "}\n").getBytes());
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
	public void stop() {
		super.stop();
		this.stopping = true;
		try {
			this.writer.join(200);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
