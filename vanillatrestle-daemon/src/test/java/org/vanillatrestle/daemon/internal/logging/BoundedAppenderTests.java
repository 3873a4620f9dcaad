package org.vanillatrestle.daemon.internal.logging;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.LoggingEvent;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

import static org.assertj.core.api.Assertions.assertThat;

class BoundedAppenderTests {

	private static final int LINES = 10_000;

	private final LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();

	@Test
	void shouldDropLinesRatherThanWaitForAStalledSink() throws Exception {
		CountDownLatch stalled = new CountDownLatch(1);
		BoundedAppender appender = appender(new StalledStream(stalled));
		long began = System.nanoTime();
		for (int i = 0; i < LINES; i++) {
			appender.doAppend(event("{\"line\":" + i + "}"));
		}
		assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began)).isLessThan(5_000);
		assertThat(appender.dropped()).isBetween(1L, (long) LINES);
		stalled.countDown();
		appender.stop();
	}

	@Test
	void shouldWriteEveryLineWhileTheSinkKeepsUp() {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		BoundedAppender appender = appender(output);
		for (int i = 0; i < 100; i++) {
			appender.doAppend(event("{\"line\":" + i + "}"));
		}
		appender.stop();
		assertThat(output.toString(StandardCharsets.UTF_8).lines()).hasSize(100);
		assertThat(appender.dropped()).isZero();
	}

	@Test
	void shouldWriteValidJsonWhateverTheValues() throws Exception {
		JsonNode line = new JsonMapper().readTree(
				EventLog.line(EventKind.REFUSED, "request", "a\"b\n", "millis", 3, "done", true, "missing", null));
		assertThat(line.path("event").asText()).isEqualTo("refused");
		assertThat(line.path("request").asText()).isEqualTo("a\"b\n");
		assertThat(line.path("millis").asInt()).isEqualTo(3);
		assertThat(line.has("missing")).isFalse();
	}

	private BoundedAppender appender(OutputStream output) {
		PatternLayoutEncoder encoder = new PatternLayoutEncoder();
		encoder.setContext(this.context);
		encoder.setPattern("%msg%n");
		encoder.start();
		BoundedAppender appender = new BoundedAppender(output, encoder, encoder);
		appender.setContext(this.context);
		appender.start();
		return appender;
	}

	private LoggingEvent event(String message) {
		return new LoggingEvent("", this.context.getLogger(EventLog.CATEGORY), Level.INFO, message, null, null);
	}

	/**
	 * Accepts nothing until it is let go.
	 */
	private static final class StalledStream extends OutputStream {

		private final CountDownLatch stalled;

		StalledStream(CountDownLatch stalled) {
			this.stalled = stalled;
		}

		@Override
		public void write(int value) throws IOException {
			try {
				this.stalled.await();
			}
			catch (InterruptedException ex) {
				throw new IOException(ex);
			}
		}

	}

}
