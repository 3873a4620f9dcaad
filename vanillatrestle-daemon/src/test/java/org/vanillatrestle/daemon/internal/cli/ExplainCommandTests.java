package org.vanillatrestle.daemon.internal.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class ExplainCommandTests {

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	@TempDir
	Path folder;

	@Test
	void shouldPrintTheLinesOfARequestInOrderOfTime() throws IOException {
		Path east = write("east.log", "{\"time\":30,\"event\":\"failed\",\"request\":\"r1\",\"at\":\"edge-west\"}",
				"{\"time\":10,\"event\":\"sent-away\",\"request\":\"r1\",\"vm\":\"edge-west\"}",
				"{\"time\":11,\"event\":\"answered\",\"request\":\"r2\"}", "not a line of the log");
		Path west = write("west.log",
				"  12.1 edge-west {\"time\":20,\"event\":\"placed\",\"request\":\"r1\",\"target\":\"i-1\"}",
				"  12.0 edge-west {\"time\":5,\"event\":\"target-changed\",\"target\":\"i-1\",\"condition\":\"DRAINING\"}",
				"  12.0 edge-west {\"time\":4,\"event\":\"declared\",\"version\":7}");
		assertThat(explain("--request", "r1", east.toString(), west.toString())).isZero();
		assertThat(this.out.toString().lines().map((line) -> line.trim().split(" ")[2])).startsWith("sent-away",
				"placed", "failed");
		assertThat(this.out.toString()).contains("condition=DRAINING", "version=7", "edge-west").doesNotContain("r2");
	}

	@Test
	void shouldReportThatNoLineWasFoundForARequest() throws IOException {
		Path log = write("a.log", "{\"time\":10,\"event\":\"started\"}");
		assertThat(explain("--request", "r1", log.toString())).isEqualTo(ExitCode.REFUSED.value());
		assertThat(this.out.toString()).contains("No log line was found for the request r1");
	}

	@Test
	void shouldRejectACallWithoutFilesOrWithAMissingFile() {
		assertThat(explain("--request", "r1")).isEqualTo(ExitCode.INVALID.value());
		assertThat(explain("--request", "r1", this.folder.resolve("none").toString()))
			.isEqualTo(ExitCode.INVALID.value());
	}

	private int explain(String... args) {
		PrintStream stream = new PrintStream(this.out, true);
		return new ExplainCommand().run(args, stream, stream);
	}

	private Path write(String name, String... lines) throws IOException {
		return Files.write(this.folder.resolve(name), List.of(lines));
	}

}
