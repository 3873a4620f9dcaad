package org.vanillatrestle.bench.serving;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;

import org.vanillatrestle.Contract;
import org.vanillatrestle.Contracts;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.VmId;
import org.vanillatrestle.daemon.Node;
import org.vanillatrestle.daemon.internal.node.ReplicaFounding;
import org.vanillatrestle.daemon.internal.pipeline.BearerKeys;
import org.vanillatrestle.daemon.internal.settings.HostAndPort;
import org.vanillatrestle.daemon.internal.settings.OperatorSettings;
import org.vanillatrestle.daemon.internal.settings.Role;
import org.vanillatrestle.daemon.internal.settings.Settings;
import org.vanillatrestle.daemon.internal.settings.VmSettings;

/**
 * Three regions with one data centre and one VM each, all inside this process. Used by
 * one thread.
 */
final class Regions implements AutoCloseable {

	private static final String OPERATOR_KEY = "operator-key";

	private static final long DEFAULT_GRACE_MILLIS = 30_000;

	private static final int MAX_POLLS = 1_000;

	private static final long POLL_MILLIS = 20;

	private final HttpClient http = HttpClient.newHttpClient();

	private final Map<String, Node> nodes = new LinkedHashMap<>();

	private final List<VmSettings> vms = new ArrayList<>();

	Regions(Path folder, String... names) throws IOException {
		this(folder, DEFAULT_GRACE_MILLIS, names);
	}

	Regions(Path folder, long shutdownGraceMillis, String... names) throws IOException {
		for (String name : names) {
			this.vms.add(new VmSettings(new VmId(name + "-1"), new RegionId(name), new DataCentreId(name + "-a"),
					Set.of(Role.values()), new HostAndPort("127.0.0.1", 0), new HostAndPort("127.0.0.1", freePort())));
		}
		for (VmSettings vm : this.vms) {
			Settings settings = Settings.builder(vm, this.vms)
				.shutdownGraceMillis(shutdownGraceMillis)
				.dataFolder(Files.createDirectories(folder.resolve(vm.id().value())))
				.operators(List.of(new OperatorSettings("ana", BearerKeys.sha256(OPERATOR_KEY))))
				.build();
			ReplicaFounding.found(settings, false);
			this.nodes.put(vm.region().value(), Node.start(settings));
		}
	}

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0)) {
			return socket.getLocalPort();
		}
	}

	String address(String region) {
		return "127.0.0.1:" + this.nodes.get(region).httpPort();
	}

	void apply(Contract contract) throws Exception {
		await(() -> this.nodes.keySet().stream().anyMatch((region) -> put(region, contract) < 300));
		for (String region : this.nodes.keySet()) {
			await(() -> get(region, "/health/ready", "").statusCode() == 200);
		}
	}

	private int put(String region, Contract contract) {
		HttpRequest request = HttpRequest
			.newBuilder(URI.create("http://" + address(region) + "/v1/contracts/" + contract.customer()))
			.header("Authorization", "Bearer " + OPERATOR_KEY)
			.PUT(HttpRequest.BodyPublishers.ofString(Contracts.write(contract)))
			.build();
		try {
			return this.http.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
		}
		catch (IOException ex) {
			return 599;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

	HttpResponse<String> get(String region, String path, String key) throws IOException, InterruptedException {
		return this.http.send(request(region, path, key).build(), HttpResponse.BodyHandlers.ofString());
	}

	HttpResponse<String> post(String region, String path, String key, String onceKey, String body)
			throws IOException, InterruptedException {
		HttpRequest.Builder request = request(region, path, key).POST(HttpRequest.BodyPublishers.ofString(body));
		if (!onceKey.isEmpty()) {
			request.header("Idempotency-Key", onceKey);
		}
		return this.http.send(request.build(), HttpResponse.BodyHandlers.ofString());
	}

	private HttpRequest.Builder request(String region, String path, String key) {
		return HttpRequest.newBuilder(URI.create("http://" + address(region) + path))
			.header("Authorization", "Bearer " + key);
	}

	static void await(Callable<Boolean> condition) throws Exception {
		for (int i = 0; i < MAX_POLLS && !condition.call(); i++) {
			Thread.sleep(POLL_MILLIS);
		}
	}

	/**
	 * Stops a region's VM.
	 * @param region the region
	 */
	void stop(String region) {
		this.nodes.get(region).close();
	}

	@Override
	public void close() {
		this.nodes.values().forEach(Node::close);
	}

}
