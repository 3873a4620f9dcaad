package org.vanillatrestle.bench.internal.demo;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.vanillatrestle.bench.internal.deployment.Deployment;
import org.vanillatrestle.bench.internal.deployment.DeploymentPlan;
import org.vanillatrestle.bench.internal.deployment.VmPlan;
import org.vanillatrestle.bench.internal.link.Links;
import org.vanillatrestle.bench.internal.load.AnswerKind;
import org.vanillatrestle.bench.internal.load.CallOutcome;
import org.vanillatrestle.bench.internal.load.RequestKind;
import org.vanillatrestle.bench.internal.load.RequestTemplate;
import org.vanillatrestle.bench.internal.load.SingleCaller;
import org.vanillatrestle.bench.internal.standin.StandInTarget;

/**
 * Starts three regions of two VMs each, with stand-in targets, and shows what callers see
 * when all is well, when an engine stops and when a region is cut off.
 * <p>
 * Not thread safe. Closing it ends every process that it started.
 */
public final class Demo implements AutoCloseable {

	private static final List<String> REGIONS = List.of("bagmati", "koshi", "lumbini");

	private static final List<Integer> VMS = List.of(2, 2, 2);

	private static final String CONSULTANT = "example-consultants-bagmati";

	private static final String CLERK_LUMBINI = "example-clerks-lumbini";

	private static final String SECRETARY = "example-secretaries-bagmati";

	private static final int DRAFT_TOKENS = 60;

	private static final long READY_MILLIS = 30_000;

	private static final long SERVING_MILLIS = 15_000;

	private static final long FORCE_MILLIS = 12_000;

	private static final long POLL_MILLIS = 100;

	private final Path contracts;

	private final PrintStream out;

	private final DeploymentPlan plan;

	private final Links links;

	private final Deployment deployment;

	private final SingleCaller caller = new SingleCaller();

	private DemoTargets targets;

	private boolean allWell = true;

	/**
	 * Creates the demonstration.
	 * @param folder gets settings, logs and data
	 * @param contracts the contracts to apply, a file for each customer
	 * @param out where it tells what happens
	 * @throws IOException if a file can't be written or a port not be opened
	 */
	public Demo(Path folder, Path contracts, PrintStream out) throws IOException {
		this.contracts = contracts;
		this.out = out;
		this.plan = DeploymentPlan.of(DeploymentPlan.randomPrefix(), REGIONS, VMS, "example-operator-demo");
		this.links = Links.open(this.plan, 20);
		this.plan.write(folder, this.links::peerAddress);
		this.deployment = new Deployment(this.plan, folder, List.of());
		out.println("Settings, logs and data are in " + folder);
	}

	/**
	 * Runs the demonstration.
	 * @return whether all went as it should
	 * @throws IOException if a process can't be started or doesn't answer
	 * @throws InterruptedException if a wait is interrupted
	 * @throws ExecutionException if a caller fails
	 * @throws TimeoutException if an answer takes too long
	 */
	public boolean run() throws IOException, InterruptedException, ExecutionException, TimeoutException {
		start();
		applyContracts();
		awaitServing();
		showCalls();
		showStoppedEngine();
		showCutRegion();
		step("Stopping");
		this.targets.close();
		check("every daemon ends with exit code 0 after SIGTERM", this.deployment.terminateAll(READY_MILLIS));
		return this.allWell;
	}

	private void start() throws IOException, InterruptedException {
		step("Starting six VMs in three regions, each 20 ms from the others, and their targets");
		this.deployment.found();
		this.deployment.startAll();
		this.targets = new DemoTargets(this.plan, REGIONS);
	}

	private void applyContracts() throws IOException, InterruptedException {
		step("Applying the contracts of both customers");
		for (String customer : List.of("dossieria", "himdugdha")) {
			HttpResponse<String> answer = this.deployment.apply(customer, contract(customer), READY_MILLIS);
			check(customer + ": " + answer.statusCode() + " " + answer.body(), answer.statusCode() == 200);
		}
		check("every VM is ready", this.deployment.awaitReady(READY_MILLIS));
	}

	private String contract(String customer) throws IOException {
		return Files.readString(this.contracts.resolve(customer + ".json"));
	}

	private void awaitServing() throws InterruptedException, ExecutionException, TimeoutException {
		for (VmPlan vm : this.plan.vms()) {
			boolean draftsAllowed = !vm.region().equals("lumbini");
			awaitWhole(vm, RequestKind.BALANCE, "ledger", SECRETARY);
			if (draftsAllowed) {
				awaitWhole(vm, RequestKind.STREAM, "draft-1", CONSULTANT);
			}
		}
	}

	private void awaitWhole(VmPlan vm, RequestKind kind, String name, String key)
			throws InterruptedException, ExecutionException, TimeoutException {
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SERVING_MILLIS);
		while (send(vm, RequestTemplate.of(kind, name, 1, key), "").kind() != AnswerKind.WHOLE) {
			if (System.nanoTime() - deadlineNanos >= 0) {
				check(vm.vm() + " serves " + name, false);
				return;
			}
			Thread.sleep(POLL_MILLIS);
		}
	}

	private void showCalls() throws InterruptedException, ExecutionException, TimeoutException {
		step("A consultant streams a draft");
		VmPlan vm = first("bagmati");
		showWhole("draft", send(vm, RequestTemplate.of(RequestKind.STREAM, "draft-1", DRAFT_TOKENS, CONSULTANT), ""));
		step("A consultant sends a draft to a region that the contract forbids");
		CallOutcome refused = send(first("lumbini"),
				RequestTemplate.of(RequestKind.STREAM, "draft-1", DRAFT_TOKENS, CONSULTANT), "");
		show("draft", refused, refused.status() == 421 && refused.verdict().equals("NOT_RUN"));
		step("A secretary reads a balance");
		showWhole("balance", send(vm, RequestTemplate.of(RequestKind.BALANCE, "ledger", 0, SECRETARY), ""));
		step("A secretary sends a payout twice under one key, to two VMs");
		RequestTemplate payout = RequestTemplate.of(RequestKind.PAYOUT, "ledger", 0, SECRETARY);
		showWhole("first", send(vm, payout, "demo-payout-1"));
		showWhole("again", send(this.plan.in("bagmati").get(1), payout, "demo-payout-1"));
		long runs = this.targets.runsOf("demo-payout-1");
		check("the payout ran " + runs + " time(s)", runs == 1);
	}

	private void showStoppedEngine() throws InterruptedException, ExecutionException, TimeoutException {
		step("An engine stops in the middle of a draft");
		CompletableFuture<CallOutcome> draft = this.caller.send(address(first("bagmati")),
				RequestTemplate.of(RequestKind.STREAM, "draft-1", DRAFT_TOKENS, CONSULTANT), 2, "", Map.of());
		Optional<StandInTarget> engine = Optional.empty();
		while (engine.isEmpty() && !draft.isDone()) {
			Thread.sleep(POLL_MILLIS / 10);
			engine = this.targets.draftingEngine();
		}
		engine.ifPresent(StandInTarget::close);
		check("an engine was stopped", engine.isPresent());
		showWhole("draft", draft.get(SERVING_MILLIS, TimeUnit.MILLISECONDS));
	}

	private void showCutRegion() throws IOException, InterruptedException, ExecutionException, TimeoutException {
		step("Region lumbini is cut off: the VMs of the other regions are frozen");
		VmPlan cut = first("lumbini");
		this.deployment.freeze("bagmati", true);
		this.deployment.freeze("koshi", true);
		showWhole("a clerk there reads a balance",
				send(cut, RequestTemplate.of(RequestKind.BALANCE, "ledger", 0, CLERK_LUMBINI), ""));
		showWhole("a clerk there pays out",
				send(cut, RequestTemplate.of(RequestKind.PAYOUT, "ledger", 0, CLERK_LUMBINI), "demo-payout-2"));
		CallOutcome away = send(cut, RequestTemplate.of(RequestKind.PAYOUT, "ledger", 0, SECRETARY), "demo-payout-3");
		show("a secretary of bagmati pays out there", away, away.kind() != AnswerKind.WHOLE);
		long runs = this.targets.runsOf("demo-payout-3");
		check("that payout ran " + runs + " time(s)", runs == 0);
		this.deployment.freeze("bagmati", false);
		this.deployment.freeze("koshi", false);
		showChangeWhileCut(cut);
	}

	private void showChangeWhileCut(VmPlan cut) throws IOException, InterruptedException {
		step("The VMs of lumbini are frozen, and an operator changes a contract");
		this.deployment.freeze("lumbini", true);
		String next = contract("himdugdha").replace("\"revision\": 1", "\"revision\": 2");
		HttpResponse<String> applied = this.deployment.apply("himdugdha", next, READY_MILLIS);
		check("revision 2: " + applied.statusCode() + " " + applied.body(), applied.statusCode() == 200);
		step("The VMs of lumbini go on");
		this.deployment.freeze("lumbini", false);
		check("lumbini has revision 2 within 12 s", awaitRevision(cut, 2));
	}

	private boolean awaitRevision(VmPlan vm, long revision) throws IOException, InterruptedException {
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FORCE_MILLIS);
		while (!hasRevision(vm, revision)) {
			if (System.nanoTime() - deadlineNanos >= 0) {
				return false;
			}
			Thread.sleep(POLL_MILLIS);
		}
		return true;
	}

	private boolean hasRevision(VmPlan vm, long revision) throws IOException, InterruptedException {
		String body = this.deployment.get(vm, "/v1/contracts/himdugdha").body();
		return body.replace(" ", "").contains("\"revision\":" + revision);
	}

	private VmPlan first(String region) {
		return this.plan.in(region).get(0);
	}

	private static InetSocketAddress address(VmPlan vm) {
		return new InetSocketAddress(vm.host(), vm.httpPort());
	}

	private CallOutcome send(VmPlan vm, RequestTemplate template, String key)
			throws InterruptedException, ExecutionException, TimeoutException {
		return this.caller.send(address(vm), template, 1, key, Map.of()).get(SERVING_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void showWhole(String what, CallOutcome outcome) {
		show(what, outcome, outcome.kind() == AnswerKind.WHOLE);
	}

	private void show(String what, CallOutcome outcome, boolean asExpected) {
		String verdict = outcome.verdict().isEmpty() ? "" : ", verdict " + outcome.verdict();
		String replayed = outcome.replayed() ? ", stored answer" : "";
		check(String.format("%s: status %d, %s%s%s, region %s, attempts %d, request %s", what, outcome.status(),
				outcome.kind(), verdict, replayed, outcome.region(), outcome.attempts(), outcome.requestId()),
				asExpected);
	}

	private void step(String text) {
		this.out.println();
		this.out.println(text);
	}

	private void check(String text, boolean asExpected) {
		this.out.println((asExpected ? "  ok    " : "  WRONG ") + text);
		this.allWell &= asExpected;
	}

	@Override
	public void close() {
		this.caller.close();
		if (this.targets != null) {
			this.targets.close();
		}
		this.deployment.close();
		this.links.close();
	}

}
