package org.vanillatrestle.bench.processes;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.vanillatrestle.bench.internal.deployment.Deployment;
import org.vanillatrestle.bench.internal.deployment.DeploymentPlan;
import org.vanillatrestle.bench.internal.deployment.JavaProcess;
import org.vanillatrestle.bench.internal.deployment.VmPlan;
import org.vanillatrestle.bench.internal.load.AnswerKind;
import org.vanillatrestle.bench.internal.load.CallOutcome;
import org.vanillatrestle.bench.internal.load.RequestKind;
import org.vanillatrestle.bench.internal.load.RequestTemplate;
import org.vanillatrestle.bench.internal.load.SingleCaller;
import org.vanillatrestle.bench.internal.service.ServiceSettings;
import org.vanillatrestle.bench.internal.service.StandInService;
import org.vanillatrestle.bench.internal.standin.Run;
import org.vanillatrestle.bench.internal.standin.StandInTarget;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Daemons of a small deployment with real files and sockets, killed and stopped while
 * callers send payouts again until they have an answer. The system property
 * {@code vanillatrestle.processes.seconds} makes it longer.
 */
class RealProcessTests {

	private static final List<String> REGIONS = List.of("bagmati", "koshi", "lumbini");

	private static final String CUSTOMER = "himdugdha";

	private static final int CALLERS = 4;

	private static final long SECONDS = Long.getLong("vanillatrestle.processes.seconds", 10);

	private static final long SEED = Long.getLong("vanillatrestle.processes.seed", 1);

	private static final long READY_MILLIS = 60_000;

	private static final long DELAY_MILLIS = 100;

	private static final int IN_FLIGHT = 50;

	private static final int MAX_SENDS = 200;

	private final UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(SEED);

	private final Map<String, CallOutcome> answered = new ConcurrentHashMap<>();

	private Deployment deployment;

	private final List<StandInTarget> services = new ArrayList<>();

	private final SingleCaller caller = new SingleCaller();

	private volatile boolean stopped;

	@BeforeEach
	void start(@TempDir Path folder) throws Exception {
		DeploymentPlan plan = DeploymentPlan.of(DeploymentPlan.randomPrefix(), REGIONS, List.of(2, 1, 1), "operator");
		plan.write(folder);
		this.deployment = new Deployment(plan, folder, List.of());
		this.deployment.found();
		this.deployment.startAll();
		assertThat(this.deployment.apply(CUSTOMER, contract(1), READY_MILLIS).statusCode()).isEqualTo(200);
		assertThat(this.deployment.awaitReady(READY_MILLIS)).isTrue();
		for (String region : REGIONS) {
			ServiceSettings fast = ServiceSettings.fast(region + "-ledger", region + "-1", "ledger", CUSTOMER,
					plan.entriesOf(region));
			this.services.add(StandInService.start(new ServiceSettings(fast.place(), DELAY_MILLIS, 0)));
		}
	}

	@AfterEach
	void stop() {
		this.stopped = true;
		this.caller.close();
		this.deployment.close();
		this.services.forEach(StandInTarget::close);
	}

	@Test
	void shouldRunNoPayoutTwiceAndLoseNoChangeWhenVmsAreKilled() throws Exception {
		ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
		List<Future<?>> running = new ArrayList<>();
		for (int i = 0; i < CALLERS; i++) {
			int number = i;
			running.add(callers.submit(() -> pay(number)));
		}
		Change last = killAndChange();
		this.stopped = true;
		for (Future<?> future : running) {
			future.get(READY_MILLIS, TimeUnit.MILLISECONDS);
		}
		callers.shutdown();
		checkRuns();
		checkRevision(last);
	}

	@Test
	void shouldCutNoRequestOnSigterm() throws Exception {
		VmPlan vm = this.deployment.plan().in("bagmati").get(0);
		awaitServing(vm);
		List<CompletableFuture<CallOutcome>> inFlight = new ArrayList<>();
		for (int i = 0; i < IN_FLIGHT; i++) {
			inFlight.add(send(vm, "sigterm-" + i, i));
		}
		JavaProcess process = this.deployment.process(vm);
		TimeUnit.MILLISECONDS.sleep(DELAY_MILLIS / 2);
		process.terminate();
		assertThat(process.await(READY_MILLIS)).isTrue();
		assertThat(process.exitCode()).isZero();
		for (CompletableFuture<CallOutcome> future : inFlight) {
			CallOutcome outcome = future.get(READY_MILLIS, TimeUnit.MILLISECONDS);
			assertThat(outcome.kind()).isIn(AnswerKind.WHOLE, AnswerKind.NOT_RUN);
		}
	}

	private Change killAndChange() throws IOException, InterruptedException {
		long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(SECONDS);
		List<VmPlan> vms = this.deployment.plan().vms();
		Change last = new Change(1, 0);
		while (System.nanoTime() - endNanos < 0) {
			VmPlan victim = vms.get(this.random.nextInt(vms.size()));
			JavaProcess process = this.deployment.process(victim);
			if (this.random.nextBoolean()) {
				process.kill();
			}
			else {
				process.terminate();
				assertThat(process.await(READY_MILLIS)).isTrue();
				assertThat(process.exitCode()).as("exit code after SIGTERM").isZero();
			}
			HttpResponse<String> answer = this.deployment.apply(CUSTOMER, contract(last.revision() + 1), READY_MILLIS);
			assertThat(answer.statusCode()).as(answer.body()).isEqualTo(200);
			last = new Change(last.revision() + 1, number(answer.body(), "index\":(\\d+)"));
			this.deployment.start(victim);
			assertThat(this.deployment.awaitReady(READY_MILLIS)).as("all VMs ready again").isTrue();
		}
		return last;
	}

	private void pay(int callerNumber) {
		for (int payment = 0; !this.stopped; payment++) {
			String key = "payout-" + callerNumber + "-" + payment;
			for (int attempt = 0; attempt < MAX_SENDS; attempt++) {
				List<VmPlan> vms = this.deployment.plan().vms();
				CallOutcome outcome = send(vms.get((callerNumber + attempt) % vms.size()), key, payment).join();
				if (outcome.kind() == AnswerKind.WHOLE) {
					this.answered.put(key, outcome);
					break;
				}
				if (attempt > 0 && outcome.kind() == AnswerKind.MAY_HAVE_RUN && this.stopped) {
					break;
				}
				pause();
			}
		}
	}

	private static void pause() {
		try {
			TimeUnit.MILLISECONDS.sleep(50);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private CompletableFuture<CallOutcome> send(VmPlan vm, String key, long number) {
		RequestTemplate template = RequestTemplate.of(RequestKind.PAYOUT, "ledger", 0, "secretary");
		return this.caller.send(new InetSocketAddress(vm.host(), vm.httpPort()), template, number, key,
				Map.of("Vanillatrestle-Deadline-Millis", "3000"));
	}

	private void awaitServing(VmPlan vm) throws InterruptedException, ExecutionException, TimeoutException {
		int attempt = 0;
		while (send(vm, "serving-" + attempt++, 0).get(READY_MILLIS, TimeUnit.MILLISECONDS)
			.kind() != AnswerKind.WHOLE) {
			assertThat(attempt).isLessThan(MAX_SENDS);
			TimeUnit.MILLISECONDS.sleep(100);
		}
	}

	private void checkRuns() {
		Map<String, Long> runs = this.services.stream()
			.flatMap((service) -> service.runs().stream())
			.collect(Collectors.groupingBy(Run::key, Collectors.counting()));
		assertThat(runs).allSatisfy((key, count) -> assertThat(count).as(key).isEqualTo(1));
		assertThat(this.answered).isNotEmpty();
		assertThat(runs.keySet()).containsAll(this.answered.keySet());
	}

	private void checkRevision(Change last) throws IOException, InterruptedException {
		for (VmPlan vm : this.deployment.plan().vms()) {
			awaitBody(vm, "/v1/status", "appliedIndex\":(\\d+)", last.index());
			if (vm.needsDisk()) {
				awaitBody(vm, "/v1/contracts/" + CUSTOMER, "revision\":(\\d+)", last.revision());
			}
		}
	}

	private void awaitBody(VmPlan vm, String path, String pattern, long expected)
			throws IOException, InterruptedException {
		long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(12);
		long seen = -1;
		while (seen < expected && System.nanoTime() - endNanos < 0) {
			seen = number(this.deployment.get(vm, path).body(), pattern);
			TimeUnit.MILLISECONDS.sleep(50);
		}
		assertThat(seen).as(vm.vm() + " " + path).isGreaterThanOrEqualTo(expected);
	}

	private static long number(String body, String pattern) {
		Matcher matcher = Pattern.compile(pattern).matcher(body.replace(" ", ""));
		return matcher.find() ? Long.parseLong(matcher.group(1)) : -1;
	}

	private static String contract(long revision) throws IOException {
		Path file = Path.of("..", "examples", "himdugdha", "contracts", "himdugdha.json");
		return Files.readString(file)
			.replace("\"revision\": 1", "\"revision\": " + revision)
			.replace(DeploymentPlan.sha256("example-secretaries-bagmati"), DeploymentPlan.sha256("secretary"));
	}

	/**
	 * An accepted change.
	 *
	 * @param revision the contract's revision
	 * @param index its place in the contract book
	 */
	private record Change(long revision, long index) {

	}

}
