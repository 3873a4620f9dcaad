package org.vanillatrestle.daemon;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.vanillatrestle.Caller;
import org.vanillatrestle.CallerName;
import org.vanillatrestle.Contract;
import org.vanillatrestle.Contracts;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.VmId;
import org.vanillatrestle.daemon.internal.node.ReplicaFounding;
import org.vanillatrestle.daemon.internal.pipeline.BearerKeys;
import org.vanillatrestle.daemon.internal.settings.HostAndPort;
import org.vanillatrestle.daemon.internal.settings.OperatorSettings;
import org.vanillatrestle.daemon.internal.settings.Role;
import org.vanillatrestle.daemon.internal.settings.Settings;
import org.vanillatrestle.daemon.internal.settings.VmSettings;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Three VMs in three regions, each with a replica of the contract book.
 */
class ControlGroupTests {

	private static final int VMS = 3;

	// runs at the same time differ in their addresses
	private static final String ADDRESS_PREFIX = "127.68." + (1 + ProcessHandle.current().pid() % 250) + ".";

	private static final int HTTP_PORT = 8080;

	private static final int PEER_PORT = 8090;

	private static final String OPERATOR_KEY = "operator-key";

	private static final long WAIT_NANOS = TimeUnit.SECONDS.toNanos(30);

	private static final long POLL_MILLIS = 20;

	private final HttpClient http = HttpClient.newHttpClient();

	private final List<VmSettings> vms = IntStream.range(0, VMS).mapToObj(ControlGroupTests::vm).toList();

	private final Map<Integer, Node> nodes = new TreeMap<>();

	@TempDir
	Path folder;

	@AfterEach
	void stop() {
		this.nodes.values().forEach(Node::close);
	}

	/**
	 * A VM that has lost its disk gets the contracts from any other VM, long before its
	 * new replica votes. An operator who then restarts the next VM stops the group.
	 */
	@Test
	void shouldNotBeReadyBeforeItsReplicaVotes() throws Exception {
		for (int number = 0; number < VMS; number++) {
			start(number);
		}
		await("a contract is accepted", () -> apply(0, 1) == 200);
		for (int number = 0; number < VMS; number++) {
			awaitReady(number);
		}
		this.nodes.get(1).close();
		this.nodes.get(2).close();
		wipe(1);
		start(1);
		await("the contracts arrive", () -> this.nodes.get(1).parts().contracts().isLoaded());
		assertThat(readiness(1)).as("without a majority that could admit its replica").isEqualTo(503);
		start(2);
		awaitReady(1);
		this.nodes.get(0).close();
		await("its vote is a part of the majority", () -> apply(1, 2) == 200 || apply(2, 2) == 200);
	}

	// of two voters both are needed, so that the loss of a disk leaves no majority for
	// good
	@Test
	void shouldAcceptNoChangeBeforeTheGroupBearsTheLossOfADisk() throws Exception {
		start(0);
		await("the founder leads", () -> send(request(0, "/v1/status").GET()).body().contains("\"role\":\"LEADER\""));
		HttpResponse<String> refusal = put(0, 1);
		assertThat(refusal.statusCode()).as("with one voter").isEqualTo(503);
		assertThat(refusal.body()).contains("TOO_FEW_VOTERS");
		start(1);
		start(2);
		await("the whole group accepts a change", () -> apply(0, 1) == 200);
		this.nodes.get(1).close();
		wipe(1);
		await("the others accept a change", () -> apply(0, 2) == 200 || apply(2, 2) == 200);
	}

	private void awaitReady(int number) throws Exception {
		await("VM " + number + " is ready", () -> readiness(number) == 200);
	}

	private int readiness(int number) throws Exception {
		return send(request(number, "/health/ready").GET()).statusCode();
	}

	private int apply(int number, int revision) throws Exception {
		return put(number, revision).statusCode();
	}

	private HttpResponse<String> put(int number, int revision) throws Exception {
		Contract contract = Contract.builder(new CustomerId("himdugdha"), revision)
			.allowedRegions(Set.of(this.vms.get(0).region()))
			.callers(List
				.of(new Caller(new CallerName("clerks"), this.vms.get(0).region(), BearerKeys.sha256("clerks-key"))))
			.build();
		return send(request(number, "/v1/contracts/himdugdha")
			.PUT(HttpRequest.BodyPublishers.ofString(Contracts.write(contract))));
	}

	private HttpRequest.Builder request(int number, String path) {
		return HttpRequest.newBuilder(URI.create("http://" + this.vms.get(number).httpAddress() + path))
			.header("Authorization", "Bearer " + OPERATOR_KEY);
	}

	private HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
		return this.http.send(request.build(), HttpResponse.BodyHandlers.ofString());
	}

	private void start(int number) throws IOException {
		Settings settings = Settings.builder(this.vms.get(number), this.vms)
			.dataFolder(Files.createDirectories(folder(number)))
			.operators(List.of(new OperatorSettings("ana", BearerKeys.sha256(OPERATOR_KEY))))
			.build();
		if (number == 0) {
			ReplicaFounding.found(settings, false);
		}
		this.nodes.put(number, Node.start(settings));
	}

	private static VmSettings vm(int number) {
		String region = "region-" + number;
		String host = ADDRESS_PREFIX + (number + 1);
		return new VmSettings(new VmId("vm-" + number), new RegionId(region), new DataCentreId(region + "-a"),
				Set.of(Role.ENTRY, Role.CONTROL), new HostAndPort(host, HTTP_PORT), new HostAndPort(host, PEER_PORT));
	}

	private Path folder(int number) {
		return this.folder.resolve("vm-" + number);
	}

	private void wipe(int number) throws IOException {
		try (Stream<Path> files = Files.walk(folder(number))) {
			for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
				Files.delete(file);
			}
		}
	}

	private static void await(String what, Callable<Boolean> condition) throws Exception {
		long endNanos = System.nanoTime() + WAIT_NANOS;
		while (!condition.call()) {
			assertThat(System.nanoTime() - endNanos).as("waited in vain: " + what).isNegative();
			TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
		}
	}

}
