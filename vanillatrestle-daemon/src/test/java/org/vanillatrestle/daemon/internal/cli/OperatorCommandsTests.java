package org.vanillatrestle.daemon.internal.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.daemon.internal.operator.FakeGateway;
import org.vanillatrestle.daemon.internal.operator.OperatorAnswer;
import org.vanillatrestle.daemon.internal.operator.OperatorKeys;
import org.vanillatrestle.daemon.internal.operator.OperatorRequest;
import org.vanillatrestle.daemon.internal.operator.OperatorService;
import org.vanillatrestle.daemon.internal.operator.RegionStatus;
import org.vanillatrestle.daemon.internal.pipeline.BearerKeys;
import org.vanillatrestle.daemon.internal.settings.OperatorSettings;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the commands for operators against the operator service over HTTP.
 */
class OperatorCommandsTests {

	private final FakeGateway gateway = new FakeGateway();

	private final OperatorService service = new OperatorService(
			new OperatorKeys(List.of(new OperatorSettings("asha", BearerKeys.sha256("secret")))), this.gateway,
			() -> List.of(new RegionStatus(new RegionId("koshi"), 1, OptionalLong.of(60_000))), () -> 1_000_000);

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final ByteArrayOutputStream err = new ByteArrayOutputStream();

	@TempDir
	private Path folder;

	private HttpServer server;

	private Path keyFile;

	private int responsesToDrop;

	@BeforeEach
	void start() throws IOException {
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
		this.server.createContext("/", this::serve);
		this.server.start();
		this.keyFile = Files.writeString(this.folder.resolve("operator.key"), "secret\n");
	}

	@AfterEach
	void stop() {
		this.server.stop(0);
	}

	private void serve(HttpExchange exchange) throws IOException {
		String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
		String query = Optional.ofNullable(exchange.getRequestURI().getRawQuery()).orElse("");
		OperatorAnswer answer = this.service
			.handle(new OperatorRequest(exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query,
					BearerKeys.fromHeader(exchange.getRequestHeaders().getFirst("Authorization")), body))
			.join();
		if (!"GET".equals(exchange.getRequestMethod()) && this.responsesToDrop-- > 0) {
			exchange.close();
			return;
		}
		byte[] bytes = answer.body().toString().getBytes(StandardCharsets.UTF_8);
		exchange.sendResponseHeaders(answer.status(), bytes.length);
		exchange.getResponseBody().write(bytes);
		exchange.close();
	}

	private Path writeContract(String customer, long revision, int priority) throws IOException {
		return Files.writeString(this.folder.resolve(customer + ".json"), """
				{ "customer": "%s", "revision": %d, "objective": "COST", "allowedRegions": ["bagmati"],
				  "callers": [ { "name": "clerks", "home": "bagmati", "keySha256": "%s" } ],
				  "services": [ { "name": "sheets", "kind": "MODEL", "models": ["sheet-1"], "priority": %d } ] }
				""".formatted(customer, revision, BearerKeys.sha256(customer), priority));
	}

	private int run(String command, String... args) {
		return runAgainst("http://127.0.0.1:" + this.server.getAddress().getPort(), command, args);
	}

	private int runAgainst(String servers, String command, String... args) {
		List<String> arguments = new ArrayList<>(Arrays.asList(args));
		arguments.addAll(List.of("--server", servers, "--key-file", this.keyFile.toString()));
		return runWithArguments(command, arguments.toArray(String[]::new));
	}

	private int runWithArguments(String command, String... arguments) {
		this.out.reset();
		this.err.reset();
		return OperatorCommands.all()
			.stream()
			.filter((candidate) -> candidate.name().equals(command))
			.findFirst()
			.orElseThrow()
			.run(arguments, new PrintStream(this.out), new PrintStream(this.err));
	}

	@Test
	void shouldReportUnchangedContractsWhenADirectoryIsAppliedAgain() throws IOException {
		writeContract("himdugdha", 1, 1);
		writeContract("dossieria", 4, 2);
		assertThat(run("contract apply", "-f", this.folder.toString())).isZero();
		assertThat(this.out.toString()).contains("dossieria revision 4 accepted", "himdugdha revision 1 accepted");
		writeContract("himdugdha", 2, 3);
		assertThat(run("contract apply", "-f", this.folder.toString())).isZero();
		assertThat(this.out.toString()).contains("dossieria revision 4 unchanged", "himdugdha revision 2 accepted");
		assertThat(run("contract list", "--output", "json")).isZero();
		assertThat(this.out.toString()).contains("\"appliedIndex\" : 3");
	}

	@Test
	void shouldRetryAChangeWhoseResponseWasLost() throws IOException {
		Path file = writeContract("himdugdha", 1, 1);
		this.responsesToDrop = 1;
		assertThat(run("contract apply", "-f", file.toString())).isZero();
		assertThat(this.out.toString()).contains("himdugdha revision 1 unchanged");
	}

	@Test
	void shouldFindAChangeInForceWhenEveryResponseIsLost() throws IOException {
		Path file = writeContract("himdugdha", 1, 1);
		this.responsesToDrop = 100;
		assertThat(run("contract apply", "-f", file.toString())).isZero();
		assertThat(this.out.toString()).contains("accepted: found in force after its response was lost");
	}

	@Test
	void shouldReturnTheExitCodeUnknownWhenTheOutcomeIsUnknown() throws IOException {
		writeContract("himdugdha", 1, 1);
		run("contract apply", "-f", this.folder.toString());
		this.responsesToDrop = 100;
		assertThat(run("contract remove", "himdugdha", "--revision", "2")).isEqualTo(ExitCode.UNKNOWN.value());
	}

	@Test
	void shouldReportAConflictAndApplyTheRemainingContracts() throws IOException {
		writeContract("himdugdha", 1, 1);
		run("contract apply", "-f", this.folder.toString());
		writeContract("himdugdha", 1, 2);
		writeContract("third", 1, 2);
		assertThat(run("contract apply", "-f", this.folder.toString())).isEqualTo(ExitCode.REFUSED.value());
		assertThat(this.out.toString()).contains("himdugdha revision 1 refused: revision 1 is in force",
				"third revision 1 accepted");
	}

	@Test
	void shouldSendNothingIfOneFileIsInvalid() throws IOException {
		writeContract("himdugdha", 1, 1);
		Files.writeString(this.folder.resolve("zz.json"), "{}");
		assertThat(run("contract apply", "-f", this.folder.toString())).isEqualTo(ExitCode.INVALID.value());
		assertThat(this.err.toString()).contains("zz.json is invalid: $.customer");
		run("contract list", "--output", "json");
		assertThat(this.out.toString()).contains("\"appliedIndex\" : 0");
	}

	@Test
	void shouldReportWhenNoVmCanBeReached() throws IOException {
		Path file = writeContract("himdugdha", 1, 1);
		try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			int port = closed.getLocalPort();
			closed.close();
			assertThat(runAgainst("http://127.0.0.1:" + port, "contract apply", "-f", file.toString()))
				.isEqualTo(ExitCode.UNREACHABLE.value());
			assertThat(this.out.toString()).contains("not sent");
			assertThat(
					runAgainst("http://127.0.0.1:" + port + ",http://127.0.0.1:" + this.server.getAddress().getPort(),
							"contract apply", "-f", file.toString()))
				.isZero();
		}
	}

	@Test
	void shouldWarnThatTheResultMayBeOutOfDate() throws IOException {
		writeContract("himdugdha", 1, 1);
		run("contract apply", "-f", this.folder.toString());
		this.gateway.setLeaderless(true);
		assertThat(run("contract get", "himdugdha")).isZero();
		assertThat(this.err.toString()).contains("no leader of the contract book for 5000 ms");
	}

	@Test
	void shouldShowHistoryStatusAndAudit() throws IOException {
		writeContract("himdugdha", 1, 1);
		run("contract apply", "-f", this.folder.toString());
		assertThat(run("contract remove", "himdugdha", "--revision", "2")).isZero();
		assertThat(run("contract get", "himdugdha")).isZero();
		assertThat(this.out.toString()).contains("was removed with revision 2");
		assertThat(run("contract history", "himdugdha")).isZero();
		assertThat(this.out.toString().lines()).hasSize(3);
		assertThat(run("contract status", "himdugdha")).isZero();
		assertThat(this.out.toString()).contains("himdugdha revision 2 (removed)", "1970-01-01T00:15:40Z");
		assertThat(run("audit", "--since", "1970-01-01T00:00:00Z", "--customer", "himdugdha")).isZero();
		assertThat(this.out.toString()).contains("ACCEPTED himdugdha revision 1 -> 2 by asha");
	}

	@Test
	void shouldRejectAWrongKeyAndAnUnknownCustomer() throws IOException {
		assertThat(run("contract get", "nobody")).isEqualTo(ExitCode.REFUSED.value());
		Files.writeString(this.keyFile, "wrong");
		assertThat(run("contract list")).isEqualTo(ExitCode.REFUSED.value());
		assertThat(this.err.toString()).contains("its hash must be in this VM's settings");
	}

	@ParameterizedTest
	@ValueSource(strings = { "contract apply", "contract get", "contract list", "contract status", "contract history",
			"contract remove", "audit", "keys hash" })
	void shouldPrintHelpAndRejectInvalidUsage(String command) {
		assertThat(runWithArguments(command, "--help")).isZero();
		assertThat(this.out.toString()).containsIgnoringCase("usage: vanillatrestle " + command);
		assertThat(runWithArguments(command, "--bogus")).isEqualTo(ExitCode.INVALID.value());
		assertThat(runWithArguments(command, "one", "two")).isEqualTo(ExitCode.INVALID.value());
		assertThat(this.out.toString()).isEmpty();
	}

	@Test
	void shouldPrintTheHashOfAKey() {
		assertThat(runWithArguments("keys hash", this.keyFile.toString())).isZero();
		assertThat(this.out.toString().strip()).isEqualTo(BearerKeys.sha256("secret"));
	}

}
