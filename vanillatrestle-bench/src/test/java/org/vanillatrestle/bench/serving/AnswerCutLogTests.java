package org.vanillatrestle.bench.serving;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.vanillatrestle.bench.internal.standin.Fault;
import org.vanillatrestle.bench.internal.standin.FaultMode;
import org.vanillatrestle.bench.internal.standin.StandInTarget;
import org.vanillatrestle.daemon.internal.logging.EventLog;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * An answer that had begun is broken off. Without a line that names the cause, a deadline
 * can't be told from a decision that gave the answer up.
 */
class AnswerCutLogTests {

	private static final Logger events = Logger.getLogger(EventLog.CATEGORY);

	private static final int MAX_ATTEMPTS = 4;

	private final List<String> lines = new CopyOnWriteArrayList<>();

	private final Handler collector = new Handler() {

		@Override
		public void publish(LogRecord line) {
			AnswerCutLogTests.this.lines.add(line.getMessage());
		}

		@Override
		public void flush() {
		}

		@Override
		public void close() {
		}

	};

	private BegunStreams streams;

	@BeforeEach
	void start(@TempDir Path folder) throws Exception {
		this.streams = BegunStreams.start(folder, "bagmati");
		events.setLevel(Level.INFO);
		events.addHandler(this.collector);
	}

	@AfterEach
	void stop() {
		events.removeHandler(this.collector);
		events.setLevel(null);
		this.streams.close();
	}

	@Test
	void shouldNameTheDeadlineThatCutAnAnswer() throws Exception {
		this.streams.awaitUsed("bagmati", this.streams.startEngine("e1", "bagmati", 64));
		this.streams.ask("bagmati", 100, 1_000).handle((answer, failure) -> failure).get(20, TimeUnit.SECONDS);
		assertCut("deadline", 1);
	}

	@Test
	void shouldNameTheUsedUpAttemptsThatCutAnAnswer() throws Exception {
		StandInTarget[] engines = new StandInTarget[MAX_ATTEMPTS + 1];
		for (int i = 0; i < engines.length; i++) {
			engines[i] = this.streams.startEngine("e" + i, "bagmati", 64);
		}
		this.streams.awaitUsed("bagmati", engines);
		for (StandInTarget engine : engines) {
			engine.fault(Fault.of(FaultMode.CRASH_AFTER, 2));
		}
		this.streams.ask("bagmati", 100, BegunStreams.LONG_DEADLINE_MILLIS)
			.handle((answer, failure) -> failure)
			.get(20, TimeUnit.SECONDS);
		assertCut("denied-attempts", MAX_ATTEMPTS);
	}

	private void assertCut(String cause, int attempts) throws Exception {
		Regions.await(() -> this.lines.stream().anyMatch((line) -> line.contains("answer-cut")));
		assertThat(this.lines).filteredOn((line) -> line.contains("answer-cut"))
			.singleElement()
			.asString()
			.contains("\"cause\":\"" + cause + "\"", "\"request\":\"", "\"attempts\":" + attempts,
					"\"forwarded\":false");
		assertThat(this.streams.regions().get("bagmati", "/metrics", "").body().lines())
			.anyMatch((line) -> line.startsWith("vanillatrestle_answers_cut_total")
					&& line.contains("cause=\"" + cause + "\"") && line.endsWith(" 1.0"));
	}

}
