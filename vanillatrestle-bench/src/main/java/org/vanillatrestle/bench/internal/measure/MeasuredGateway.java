package org.vanillatrestle.bench.internal.measure;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.vanillatrestle.bench.Bench;
import org.vanillatrestle.bench.internal.deployment.Deployment;
import org.vanillatrestle.bench.internal.deployment.DeploymentPlan;
import org.vanillatrestle.bench.internal.deployment.JavaProcess;
import org.vanillatrestle.bench.internal.deployment.VmPlan;
import org.vanillatrestle.bench.internal.load.AnswerKind;
import org.vanillatrestle.bench.internal.load.LoadGenerator;
import org.vanillatrestle.bench.internal.load.LoadResult;
import org.vanillatrestle.bench.internal.load.LoadShape;
import org.vanillatrestle.bench.internal.load.RequestKind;
import org.vanillatrestle.bench.internal.load.RequestTemplate;

/**
 * One entry VM before engines and a service, each in a process of its own.
 * <p>
 * Not thread safe. Closing it kills every process it started.
 */
final class MeasuredGateway implements AutoCloseable {

	static final String KEY = "measure-caller";

	static final String MODEL = "model-1";

	static final String SERVICE = "ledger";

	private static final String REGION = "bagmati";

	private static final List<String> TARGET_OPTIONS = List.of("-Xmx256m", "-XX:+UseSerialGC", "-XX:-UsePerfData");

	private static final List<String> DAEMON_OPTIONS = List.of("-Xmx48m", "-XX:+UseSerialGC", "-XX:-UsePerfData");

	private static final long READY_MILLIS = 20_000;

	private static final int STATUS_OK = 200;

	private static final long POLL_MILLIS = 100;

	private static final String CONTRACT = """
			{ "customer": "measure", "revision": 1, "objective": "TAIL_LATENCY", "allowedRegions": ["bagmati"],
			  "callers": [ { "name": "load", "home": "bagmati", "keySha256": "%s" } ],
			  "services": [
			    { "name": "chat", "kind": "MODEL", "models": ["model-1"], "maxRequestsPerSecond": 1000000,
			      "maxTokensPerSecond": 100000000, "maxInFlight": 100000, "deadlineMillis": 600000 },
			    { "name": "ledger", "kind": "PLAIN", "maxRequestsPerSecond": 1000000, "maxInFlight": 100000,
			      "deadlineMillis": 60000 } ] }
			""";

	private final Path folder;

	private final DeploymentPlan plan;

	private final Deployment deployment;

	private final List<JavaProcess> targets = new ArrayList<>();

	private final List<InetSocketAddress> engines = new ArrayList<>();

	private InetSocketAddress service;

	MeasuredGateway(Path folder) throws IOException {
		this.folder = folder;
		this.plan = DeploymentPlan.of(DeploymentPlan.randomPrefix(), List.of(REGION), List.of(1), "measure-operator");
		this.plan.write(folder);
		this.deployment = new Deployment(this.plan, folder, DAEMON_OPTIONS);
	}

	VmPlan vm() {
		return this.plan.vms().get(0);
	}

	Path settingsFile() {
		return DeploymentPlan.settingsFile(this.folder, vm());
	}

	InetSocketAddress entry() {
		return new InetSocketAddress(vm().host(), vm().httpPort());
	}

	List<InetSocketAddress> engines() {
		return this.engines;
	}

	InetSocketAddress service() {
		return this.service;
	}

	JavaProcess daemon() {
		return this.deployment.process(vm());
	}

	/**
	 * Starts the daemon.
	 * @throws IOException if it doesn't get ready
	 * @throws InterruptedException if the wait is interrupted
	 */
	void startDaemon() throws IOException, InterruptedException {
		this.deployment.found();
		this.deployment.startAll();
		applyContract();
		if (!this.deployment.awaitReady(READY_MILLIS)) {
			throw new IOException("the daemon is not ready; see " + this.folder.resolve(vm().vm() + ".log"));
		}
	}

	/**
	 * Applies the contract under which is measured.
	 * @throws IOException if it is refused
	 * @throws InterruptedException if the wait is interrupted
	 */
	void applyContract() throws IOException, InterruptedException {
		HttpResponse<String> answer = this.deployment.apply("measure", CONTRACT.formatted(DeploymentPlan.sha256(KEY)),
				READY_MILLIS);
		if (answer.statusCode() != STATUS_OK) {
			throw new IOException("the contract is refused: " + answer.body());
		}
	}

	/**
	 * Founds the replicas without starting the daemon.
	 * @throws IOException if that fails
	 * @throws InterruptedException if the wait is interrupted
	 */
	void found() throws IOException, InterruptedException {
		this.deployment.found();
	}

	/**
	 * Starts an engine whose steps take the same time whatever the batch.
	 * @param stepMicros the duration of a step
	 * @throws IOException if it can't be started
	 */
	void startEngine(long stepMicros) throws IOException {
		int port = freePort();
		this.engines.add(new InetSocketAddress(vm().host(), port));
		start("engine-" + this.engines.size(), port,
				List.of("engine", "--service", "chat", "--models", MODEL, "--step-micros", Long.toString(stepMicros),
						"--sequence-micros", "0", "--prefill-micros", "0", "--max-running", "100000"));
	}

	/**
	 * Makes every engine fall silent after the first token of an answer.
	 * @throws IOException if an engine doesn't answer
	 * @throws InterruptedException if the wait is interrupted
	 */
	void stallEngines() throws IOException, InterruptedException {
		HttpClient client = HttpClient.newHttpClient();
		for (InetSocketAddress engine : this.engines) {
			URI uri = URI.create("http://" + engine.getHostString() + ":" + engine.getPort() + "/faults");
			HttpRequest request = HttpRequest.newBuilder(uri)
				.POST(HttpRequest.BodyPublishers.ofString("{\"mode\": \"STALL\", \"afterChunks\": 1}"))
				.build();
			client.send(request, HttpResponse.BodyHandlers.discarding());
		}
	}

	/**
	 * Starts a plain service.
	 * @throws IOException if it can't be started
	 */
	void startService() throws IOException {
		int port = freePort();
		this.service = new InetSocketAddress(vm().host(), port);
		start("service", port,
				List.of("service", "--service", SERVICE, "--customer", "measure", "--max-running", "100000"));
	}

	private void start(String id, int port, List<String> args) throws IOException {
		List<String> all = new ArrayList<>(args);
		all.addAll(List.of("--id", id, "--host", vm().host(), "--port", Integer.toString(port), "--data-centre",
				vm().dataCentre(), "--entries", vm().http()));
		this.targets
			.add(JavaProcess.start(this.folder.resolve(id + ".log"), TARGET_OPTIONS, Bench.class.getName(), all));
	}

	/**
	 * Waits until requests of a kind are answered whole.
	 * @param template what is asked for
	 * @throws IOException if that doesn't happen in time
	 * @throws InterruptedException if the wait is interrupted
	 */
	void awaitServing(RequestTemplate template) throws IOException, InterruptedException {
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MILLIS);
		while (run(entry(), template, new LoadShape(50, 0, POLL_MILLIS, 10, 1), 1).count(AnswerKind.WHOLE) == 0) {
			if (System.nanoTime() - deadlineNanos >= 0) {
				throw new IOException("the gateway doesn't serve; see the logs in " + this.folder);
			}
			Thread.sleep(POLL_MILLIS);
		}
	}

	static LoadResult run(InetSocketAddress address, RequestTemplate template, LoadShape shape, int threads)
			throws InterruptedException {
		return LoadGenerator.run(List.of(address), template, shape, threads);
	}

	static RequestTemplate chat(int tokens) {
		return RequestTemplate.of(RequestKind.STREAM, MODEL, tokens, KEY);
	}

	private int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket()) {
			socket.bind(new InetSocketAddress(vm().host(), 0));
			return socket.getLocalPort();
		}
	}

	@Override
	public void close() {
		this.deployment.close();
		this.targets.forEach(JavaProcess::close);
	}

}
