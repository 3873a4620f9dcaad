package org.vanillatrestle.bench.internal.deployment;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The daemon processes of a deployment.
 * <p>
 * Thread safe. Closing it kills every daemon that still runs.
 */
public final class Deployment implements AutoCloseable {

	private static final List<String> OPTIONS = List.of("-Xmx48m", "-XX:+UseSerialGC", "-XX:-UsePerfData",
			"-XX:TieredStopAtLevel=1");

	private static final String MAIN_CLASS = "org.vanillatrestle.daemon.Vanillatrestle";

	private static final long POLL_MILLIS = 50;

	private static final int STATUS_OK = 200;

	private final DeploymentPlan plan;

	private final Path folder;

	private final List<String> options;

	private final Map<String, JavaProcess> processes = new LinkedHashMap<>();

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofSeconds(1))
		.build();

	/**
	 * Creates a deployment whose settings files are already written.
	 * @param plan its VMs
	 * @param folder has the settings and gets logs and data folders
	 * @param options options of the daemons' JVMs, empty for the usual ones
	 */
	public Deployment(DeploymentPlan plan, Path folder, List<String> options) {
		this.plan = plan;
		this.folder = folder;
		this.options = options.isEmpty() ? OPTIONS : List.copyOf(options);
	}

	public DeploymentPlan plan() {
		return this.plan;
	}

	/**
	 * Starts every VM's daemon.
	 * @throws IOException if a process can't be started
	 */
	public void startAll() throws IOException {
		for (VmPlan vm : this.plan.vms()) {
			start(vm);
		}
	}

	/**
	 * Starts one VM's daemon.
	 * @param vm the VM
	 * @throws IOException if the process can't be started
	 */
	public synchronized void start(VmPlan vm) throws IOException {
		Path log = this.folder.resolve(vm.vm() + ".log");
		Path settings = DeploymentPlan.settingsFile(this.folder, vm);
		this.processes.put(vm.vm(),
				JavaProcess.start(log, this.options, MAIN_CLASS, List.of("run", "--settings", settings.toString())));
	}

	/**
	 * Returns a VM's daemon.
	 * @param vm the VM
	 * @return the process started last for this VM
	 */
	public synchronized JavaProcess process(VmPlan vm) {
		return this.processes.get(vm.vm());
	}

	/**
	 * Waits until every VM says that it is ready.
	 * @param maxMillis the longest to wait
	 * @return whether all are ready
	 * @throws InterruptedException if the wait is interrupted
	 */
	public boolean awaitReady(long maxMillis) throws InterruptedException {
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(maxMillis);
		for (VmPlan vm : this.plan.vms()) {
			while (!isReady(vm)) {
				if (System.nanoTime() - deadlineNanos >= 0 || !process(vm).isAlive()) {
					return false;
				}
				Thread.sleep(POLL_MILLIS);
			}
		}
		return true;
	}

	/**
	 * Asks a VM whether it is ready.
	 * @param vm the VM
	 * @return whether it says so
	 * @throws InterruptedException if the wait is interrupted
	 */
	public boolean isReady(VmPlan vm) throws InterruptedException {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + vm.http() + "/health/ready"))
			.timeout(Duration.ofSeconds(1))
			.build();
		try {
			return this.client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == STATUS_OK;
		}
		catch (IOException ex) {
			return false;
		}
	}

	/**
	 * Puts a contract to a VM.
	 * @param vm the VM
	 * @param customer the contract's customer
	 * @param contract the contract
	 * @return the answer
	 * @throws IOException if no answer arrives
	 * @throws InterruptedException if the wait is interrupted
	 */
	public HttpResponse<String> apply(VmPlan vm, String customer, String contract)
			throws IOException, InterruptedException {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + vm.http() + "/v1/contracts/" + customer))
			.timeout(Duration.ofSeconds(15))
			.header("Authorization", "Bearer " + this.plan.operatorKey())
			.header("Content-Type", "application/json")
			.PUT(HttpRequest.BodyPublishers.ofString(contract))
			.build();
		return this.client.send(request, HttpResponse.BodyHandlers.ofString());
	}

	/**
	 * Asks every daemon to end and waits.
	 * @param maxMillis the longest to wait for each
	 * @return whether all have ended with exit code 0
	 * @throws InterruptedException if the wait is interrupted
	 */
	public boolean terminateAll(long maxMillis) throws InterruptedException {
		List<JavaProcess> all;
		synchronized (this) {
			all = List.copyOf(this.processes.values());
		}
		all.forEach(JavaProcess::terminate);
		boolean clean = true;
		for (JavaProcess process : all) {
			clean &= process.await(maxMillis) && process.exitCode() == 0;
		}
		return clean;
	}

	@Override
	public synchronized void close() {
		this.processes.values().forEach(JavaProcess::close);
	}

}
