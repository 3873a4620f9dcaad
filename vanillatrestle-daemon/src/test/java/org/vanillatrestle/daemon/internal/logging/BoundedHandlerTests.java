package org.vanillatrestle.daemon.internal.logging;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.LogRecord;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class BoundedHandlerTests {

	private static final int LINES = 10_000;

	@Test
	void shouldDropLinesInsteadOfBlockingOnAStalledOutput() throws Exception {
		CountDownLatch release = new CountDownLatch(1);
		BoundedHandler handler = new BoundedHandler(new StalledStream(release));
		long startNanos = System.nanoTime();
		for (int i = 0; i < LINES; i++) {
			handler.publish(event("{\"line\":" + i + "}"));
		}
		assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos)).isLessThan(5_000);
		assertThat(handler.droppedLines()).isBetween(1L, (long) LINES);
		release.countDown();
		handler.close();
	}

	@Test
	void shouldWriteEveryLineWhileTheOutputKeepsUp() {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		BoundedHandler handler = new BoundedHandler(output);
		for (int i = 0; i < 100; i++) {
			handler.publish(event("{\"line\":" + i + "}"));
		}
		handler.close();
		assertThat(output.toString(StandardCharsets.UTF_8).lines()).hasSize(100);
		assertThat(handler.droppedLines()).isZero();
	}

	@Test
	void shouldWriteValidJsonForAnyValues() throws Exception {
		JsonNode line = new JsonMapper().readTree(EventLog.formatLine(EventKind.REFUSED, "request", "a\"b\n", "millis",
				3, "done", true, "missing", null));
		assertThat(line.path("event").asText()).isEqualTo("refused");
		assertThat(line.path("request").asText()).isEqualTo("a\"b\n");
		assertThat(line.path("millis").asInt()).isEqualTo(3);
		assertThat(line.has("missing")).isFalse();
	}

	@Test
	void shouldWriteLinesOfOtherLoggersAsEvents() throws Exception {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		BoundedHandler handler = new BoundedHandler(output);
		LogRecord failure = new LogRecord(Level.WARNING, "a \"quoted\" word");
		failure.setLoggerName("io.netty");
		failure.setThrown(new IOException("lost"));
		handler.publish(failure);
		handler.close();
		JsonNode line = new JsonMapper().readTree(output.toByteArray());
		assertThat(line.path("event").asText()).isEqualTo("message");
		assertThat(line.path("level").asText()).isEqualTo("WARNING");
		assertThat(line.path("message").asText()).isEqualTo("a \"quoted\" word");
		assertThat(line.path("failure").asText()).startsWith("java.io.IOException: lost");
	}

	@Test
	void shouldWriteTextWithTheStackTraceOfAFailure() {
		LogRecord failure = new LogRecord(Level.SEVERE, "broken");
		failure.setThrown(new IOException("lost"));
		assertThat(new TextFormatter().format(failure)).contains(" SEVERE broken\njava.io.IOException: lost\n");
	}

	private LogRecord event(String message) {
		LogRecord event = new LogRecord(Level.INFO, message);
		event.setLoggerName(EventLog.CATEGORY);
		return event;
	}

	/**
	 * Blocks every write until the latch is released.
	 */
	private static final class StalledStream extends OutputStream {

		private final CountDownLatch release;

		StalledStream(CountDownLatch release) {
			this.release = release;
		}

		@Override
		public void write(int value) throws IOException {
			try {
				this.release.await();
			}
			catch (InterruptedException ex) {
				throw new IOException(ex);
			}
		}

	}

}
