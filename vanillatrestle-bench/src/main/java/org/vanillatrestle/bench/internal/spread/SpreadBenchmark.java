package org.vanillatrestle.bench.internal.spread;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.json.JsonMapper;
import org.HdrHistogram.Histogram;
import org.vanillatrestle.bench.internal.deployment.Deployment;
import org.vanillatrestle.bench.internal.deployment.DeploymentPlan;
import org.vanillatrestle.bench.internal.deployment.VmPlan;
import org.vanillatrestle.bench.internal.link.Links;

/**
 * Measures the time from sending a contract change to having it in force on every VM of a
 * deployment of daemon processes: eight VMs in three regions, 40 ms apart one way.
 * <p>
 * The time of the operator's request itself, with its commit, is counted. Stateless and
 * thread safe.
 */
public final class SpreadBenchmark {

	private static final long DELAY_MILLIS = 40;

	private static final int CHANGES = 60;

	private static final long READY_MILLIS = 60_000;

	private static final long APPLY_MILLIS = 20_000;

	private static final long STOP_MILLIS = 20_000;

	private static final long POLL_MILLIS = 2;

	private static final long GIVE_UP_NANOS = TimeUnit.SECONDS.toNanos(30);

	private static final JsonMapper MAPPER = new JsonMapper();

	private static final String CONTRACT = """
			{"customer": "himdugdha", "revision": %d, "objective": "TAIL_LATENCY", "allowedRegions": ["bagmati"],
			 "services": [{"name": "sheets", "kind": "MODEL", "models": ["sheet-1"]}]}
			""";

	private SpreadBenchmark() {
	}

	/**
	 * Runs the measurement and prints its result.
	 * @param args no arguments
	 * @throws IOException if the deployment can't be started
	 * @throws InterruptedException if the run is interrupted
	 */
	public static void run(String[] args) throws IOException, InterruptedException {
		Path folder = Files.createTempDirectory("vanillatrestle-spread");
		DeploymentPlan plan = DeploymentPlan.of(DeploymentPlan.randomPrefix(), List.of("bagmati", "koshi", "lumbini"),
				List.of(3, 3, 2), "operator-key");
		try (Links links = Links.open(plan, DELAY_MILLIS);
				Deployment deployment = new Deployment(plan, folder, List.of())) {
			plan.write(folder, links::peerAddress);
			deployment.found();
			deployment.startAll();
			deployment.apply("himdugdha", CONTRACT.formatted(1), APPLY_MILLIS);
			if (!deployment.awaitReady(READY_MILLIS)) {
				throw new IOException("the VMs did not become ready; see " + folder);
			}
			measure(plan, deployment);
			deployment.terminateAll(STOP_MILLIS);
		}
	}

	private static void measure(DeploymentPlan plan, Deployment deployment) throws IOException, InterruptedException {
		Histogram accepted = new Histogram(3);
		Histogram everywhere = new Histogram(3);
		for (int revision = 2; revision < CHANGES + 2; revision++) {
			long startNanos = System.nanoTime();
			HttpResponse<String> answer = deployment.apply("himdugdha", CONTRACT.formatted(revision), APPLY_MILLIS);
			accepted.recordValue(millisSince(startNanos));
			long index = MAPPER.readTree(answer.body()).path("index").asLong();
			if (index == 0) {
				throw new IOException("the change was not accepted: " + answer.body());
			}
			awaitEverywhere(plan, deployment, index, startNanos);
			everywhere.recordValue(millisSince(startNanos));
		}
		print("accepted", accepted);
		print("in force on every VM", everywhere);
	}

	private static void awaitEverywhere(DeploymentPlan plan, Deployment deployment, long index, long startNanos)
			throws IOException, InterruptedException {
		Set<VmPlan> behind = new HashSet<>(plan.vms());
		while (!behind.isEmpty()) {
			for (VmPlan vm : List.copyOf(behind)) {
				long applied = MAPPER.readTree(deployment.get(vm, "/v1/status").body()).path("appliedIndex").asLong();
				if (applied >= index) {
					behind.remove(vm);
				}
			}
			if (System.nanoTime() - startNanos > GIVE_UP_NANOS) {
				throw new IOException("after 30 s these VMs lack the change: " + behind);
			}
			Thread.sleep(POLL_MILLIS);
		}
	}

	private static long millisSince(long startNanos) {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
	}

	private static void print(String name, Histogram millis) {
		System.out.printf("%s: %d changes, p50 %d ms, p99 %d ms, worst %d ms%n", name, millis.getTotalCount(),
				millis.getValueAtPercentile(50), millis.getValueAtPercentile(99), millis.getMaxValue());
	}

}
