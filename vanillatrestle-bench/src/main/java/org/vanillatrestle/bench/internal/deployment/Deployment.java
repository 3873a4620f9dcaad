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

	private static final long FOUND_MILLIS = 20_000;

	private static final Duration OPERATOR_TIMEOUT = Duration.ofSeconds(10);

	private static final int STATUS_OK = 200;

	private static final int SERVER_ERROR = 500;

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
		this.processes.put(vm.vm(),
				JavaProcess.start(log(vm), this.options, MAIN_CLASS, List.of("run", "--settings", settings(vm))));
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
	 * Freezes or thaws the VMs of a region.
	 * @param region the region
	 * @param frozen whether to freeze them
	 * @throws IOException if a signal can't be sent
	 * @throws InterruptedException if a wait is interrupted
	 */
	public void freeze(String region, boolean frozen) throws IOException, InterruptedException {
		for (VmPlan vm : this.plan.in(region)) {
			process(vm).freeze(frozen);
		}
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
	 * Founds the contract book and the once ledgers, before the first start.
	 * @throws IOException if a process can't be started or fails
	 * @throws InterruptedException if the wait is interrupted
	 */
	public void found() throws IOException, InterruptedException {
		Map<VmPlan, JavaProcess> running = new LinkedHashMap<>();
		for (VmPlan vm : this.plan.vms()) {
			if (vm.needsDisk()) {
				running.put(vm, JavaProcess.start(log(vm), this.options, MAIN_CLASS,
						List.of("replica", "found", "--settings", settings(vm))));
			}
		}
		for (Map.Entry<VmPlan, JavaProcess> entry : running.entrySet()) {
			if (!entry.getValue().await(FOUND_MILLIS) || entry.getValue().exitCode() != 0) {
				throw new IOException("founding failed; see " + log(entry.getKey()));
			}
		}
	}

	/**
	 * Puts a contract to the contract book and goes on until it is known to be in force.
	 * @param customer the contract's customer
	 * @param contract the contract
	 * @param maxMillis the longest to go on
	 * @return the answer that said so, or the last other one
	 * @throws IOException if no VM has answered in time
	 * @throws InterruptedException if the wait is interrupted
	 */
	public HttpResponse<String> apply(String customer, String contract, long maxMillis)
			throws IOException, InterruptedException {
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(maxMillis);
		HttpResponse<String> last = null;
		while (System.nanoTime() - deadlineNanos < 0) {
			for (VmPlan vm : this.plan.vms()) {
				last = vm.needsDisk() ? put(vm, customer, contract, last) : last;
				if (last != null && last.statusCode() < SERVER_ERROR) {
					return last;
				}
			}
			Thread.sleep(POLL_MILLIS);
		}
		if (last == null) {
			throw new IOException("no VM of the contract book answers");
		}
		return last;
	}

	private HttpResponse<String> put(VmPlan vm, String customer, String contract, HttpResponse<String> otherwise)
			throws InterruptedException {
		try {
			return apply(vm, customer, contract);
		}
		catch (IOException ex) {
			return otherwise;
		}
	}

	/**
	 * Puts a contract to one VM.
	 * @param vm the VM
	 * @param customer the contract's customer
	 * @param contract the contract
	 * @return the answer
	 * @throws IOException if no answer arrives
	 * @throws InterruptedException if the wait is interrupted
	 */
	public HttpResponse<String> apply(VmPlan vm, String customer, String contract)
			throws IOException, InterruptedException {
		return this.client.send(operator(vm, "/v1/contracts/" + customer).header("Content-Type", "application/json")
			.PUT(HttpRequest.BodyPublishers.ofString(contract))
			.build(), HttpResponse.BodyHandlers.ofString());
	}

	/**
	 * Reads a path as the operator.
	 * @param vm the VM
	 * @param path the path
	 * @return the answer
	 * @throws IOException if no answer arrives
	 * @throws InterruptedException if the wait is interrupted
	 */
	public HttpResponse<String> get(VmPlan vm, String path) throws IOException, InterruptedException {
		return this.client.send(operator(vm, path).build(), HttpResponse.BodyHandlers.ofString());
	}

	private HttpRequest.Builder operator(VmPlan vm, String path) {
		return HttpRequest.newBuilder(URI.create("http://" + vm.http() + path))
			.timeout(OPERATOR_TIMEOUT)
			.header("Authorization", "Bearer " + this.plan.operatorKey());
	}

	private Path log(VmPlan vm) {
		return this.folder.resolve(vm.vm() + ".log");
	}

	private String settings(VmPlan vm) {
		return DeploymentPlan.settingsFile(this.folder, vm).toString();
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
