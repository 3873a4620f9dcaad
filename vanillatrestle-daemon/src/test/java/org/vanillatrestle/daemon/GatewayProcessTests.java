package org.vanillatrestle.daemon;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.InvalidDocumentException;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.VmId;
import org.vanillatrestle.daemon.internal.settings.HostAndPort;
import sun.misc.Signal;

import static org.assertj.core.api.Assertions.assertThat;

class GatewayProcessTests {

	private static final String HOST = "127.76.0.1";

	private final AtomicInteger reads = new AtomicInteger();

	// guards against parsing an unchanged settings file at each check, once a second: on
	// an idle VM that was most of the work
	@Test
	void shouldReloadSettingsOnlyIfFileHasChanged(@TempDir Path folder) throws Exception {
		Path file = folder.resolve("settings");
		Files.writeString(file, "first");
		int port = freePort();
		GatewayProcess process = GatewayProcess.start(file, (bytes) -> settings(new String(bytes), port), null);
		try (GatewayNode node = process.node()) {
			process.reload();
			process.reload();
			assertThat(this.reads).hasValue(1);
			Files.writeString(file, "broken");
			process.reload();
			Files.writeString(file, "second");
			process.reload();
			process.reload();
			assertThat(this.reads).hasValue(3);
		}
	}

	@Test
	void shouldSurviveASigHupDuringTheStart(@TempDir Path folder) throws Exception {
		Path file = Files.writeString(folder.resolve("settings"), "first");
		Process process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
				System.getProperty("java.class.path"), RaisingProcess.class.getName(), file.toString(),
				Integer.toString(freePort()))
			.redirectErrorStream(true)
			.redirectOutput(folder.resolve("log").toFile())
			.start();
		try {
			assertThat(process.waitFor(5, TimeUnit.SECONDS)).as("the process ended").isFalse();
			assertThat(folder.resolve("log")).content().contains("\"event\":\"started\"");
			process.destroy();
			assertThat(process.waitFor(5, TimeUnit.SECONDS)).isTrue();
			assertThat(process.exitValue()).isZero();
			assertThat(folder.resolve("log")).content()
				.contains("\"requestsEnded\":0,\"answersUnwritten\":0,\"answersCut\":0", "\"event\":\"stopped\"");
		}
		finally {
			process.destroyForcibly();
		}
	}

	private GatewaySettings settings(String text, int port) throws InvalidDocumentException {
		this.reads.incrementAndGet();
		if ("broken".equals(text)) {
			throw new InvalidDocumentException("document", "broken");
		}
		DataCentreId dataCentre = new DataCentreId("east-a");
		RegionId region = new RegionId("east");
		GatewaySettings.Listen listen = new GatewaySettings.Listen(Optional.of(new HostAndPort(HOST, port)),
				Optional.empty(), Optional.empty(), Optional.empty(), port + 1, port + 2, port + 3);
		return new GatewaySettings(new VmId("edge"), GatewayRole.ENTRY, region, dataCentre, Map.of(dataCentre, region),
				HOST, listen, List.of(), false, Optional.empty(),
				new GatewaySettings.Bounds(0, 0.2, 10, 10_000, 1, 0, 1_000, 1));
	}

	private static int freePort() throws Exception {
		try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
			return Math.min(60_000, probe.getLocalPort());
		}
	}

	/**
	 * Gets SIGHUP while it reads its settings.
	 */
	interface RaisingProcess {

		static void main(String[] args) {
			System.exit(GatewayProcess.run(Path.of(args[0]), (bytes) -> {
				Signal.raise(new Signal("HUP"));
				return new GatewayProcessTests().settings("first", Integer.parseInt(args[1]));
			}, null, System.err));
		}

	}

}
