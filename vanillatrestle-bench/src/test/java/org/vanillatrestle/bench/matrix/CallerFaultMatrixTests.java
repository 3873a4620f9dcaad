package org.vanillatrestle.bench.matrix;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.vanillatrestle.bench.internal.load.RequestKind;
import org.vanillatrestle.bench.internal.standin.Fault;
import org.vanillatrestle.bench.internal.standin.FaultMode;
import org.vanillatrestle.bench.internal.standin.Run;
import org.vanillatrestle.bench.internal.standin.StandInTarget;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The rows of the fault matrix in which callers, targets' announcements or the VM's stop
 * are at fault, and the table of all cells.
 */
class CallerFaultMatrixTests {

	private static final String AUTHORIZATION = "Authorization";

	private static final String BEARER = "Bearer " + MatrixVm.KEY;

	private static final String ONCE = "Idempotency-Key";

	private static final String PAYOUT = "{\"account\": \"17\", \"amount\": 5}";

	private static final String CHAT = "{\"model\": \"sheet-1\", \"stream\": true, \"max_tokens\": 200,"
			+ " \"messages\": [{\"role\": \"user\", \"content\": \"Explain.\"}]}";

	private static final String ANNOUNCEMENT = """
			{"dataCentre": "bagmati-1", "incarnation": %d, "sequence": %d, "kind": "PLAIN", "customer": "himdugdha",
			 "service": "ledger", "host": "127.0.0.1", "port": 9, "capacity": {"maxRunning": 1},
			 "load": {}, "leaving": %s}
			""";

	private static final int MAX_POLLS = 1_000;

	private static final long POLL_MILLIS = 10;

	private MatrixVm vm;

	private RawCaller caller;

	@BeforeEach
	void start(@TempDir Path folder) throws Exception {
		this.vm = new MatrixVm(folder);
		this.caller = new RawCaller(this.vm.address());
	}

	@AfterEach
	void stop() {
		this.vm.close();
	}

	static List<CallerCase> cases() {
		List<CallerCase> cases = new ArrayList<>();
		wrong(cases, Step.AUTHENTICATE, "no key", 401, "GET", "/ledger/balances/1", "");
		wrong(cases, Step.AUTHENTICATE, "unknown key", 401, "GET", "/ledger/balances/1", "", AUTHORIZATION,
				"Bearer no");
		wrong(cases, Step.AUTHENTICATE, "another scheme", 401, "GET", "/ledger/balances/1", "", AUTHORIZATION,
				"Basic x");
		wrong(cases, Step.CONTRACT, "unknown service", 404, "GET", "/other/x", "", AUTHORIZATION, BEARER);
		wrong(cases, Step.CONTRACT, "model service called as plain", 404, "GET", "/sheets/x", "", AUTHORIZATION,
				BEARER);
		wrong(cases, Step.CONTRACT, "unknown model", 404, "POST", "/v1/chat/completions",
				CHAT.replace("sheet-1", "sheet-9"), AUTHORIZATION, BEARER);
		wrong(cases, Step.CLASSIFY, "body is not JSON", 400, "POST", "/v1/chat/completions", "{", AUTHORIZATION,
				BEARER);
		wrong(cases, Step.CLASSIFY, "no messages", 400, "POST", "/v1/chat/completions", "{\"model\": \"sheet-1\"}",
				AUTHORIZATION, BEARER);
		wrong(cases, Step.CLASSIFY, "dot segment", 400, "POST", "/ledger/a/../payouts", PAYOUT, AUTHORIZATION, BEARER);
		wrong(cases, Step.CLASSIFY, "encoded slash", 400, "POST", "/ledger/a%2Fpayouts", PAYOUT, AUTHORIZATION, BEARER);
		wrong(cases, Step.CLASSIFY, "bad deadline", 400, "GET", "/ledger/balances/1", "", AUTHORIZATION, BEARER,
				"Vanillatrestle-Deadline-Millis", "soon");
		wrong(cases, Step.CLAIM, "no idempotency key", 400, "POST", "/ledger/payouts", PAYOUT, AUTHORIZATION, BEARER);
		wrong(cases, Step.CLAIM, "encoded path without a key", 400, "POST", "/ledger/payout%73", PAYOUT, AUTHORIZATION,
				BEARER);
		wrong(cases, Step.CLAIM, "overlong key", 400, "POST", "/ledger/payouts", PAYOUT, AUTHORIZATION, BEARER, ONCE,
				"k".repeat(201));
		cases.add(new CallerCase(Step.CLAIM, MatrixFault.CALLER_IS_WRONG, "another body under a used key",
				CallerFaultMatrixTests::otherBody));
		cases.add(new CallerCase(Step.SELECT, MatrixFault.CALLER_IS_WRONG, "deadline too near for any target",
				CallerFaultMatrixTests::deadlineTooNear));
		cases.add(new CallerCase(Step.CLAIM, MatrixFault.CALLER_RESENDS, "two at the same time",
				CallerFaultMatrixTests::resendAtOnce));
		cases.add(new CallerCase(Step.DISPATCH, MatrixFault.CALLER_RESENDS, "after an attempt without an answer",
				CallerFaultMatrixTests::resendAfterStall));
		cases.add(new CallerCase(Step.RECORD, MatrixFault.CALLER_RESENDS, "after the answer",
				CallerFaultMatrixTests::resendAfterAnswer));
		cases.add(new CallerCase(Step.DISPATCH, MatrixFault.CALLER_VANISHES, "before the answer begins",
				(vm, caller) -> vanish(vm, caller, 0)));
		cases.add(new CallerCase(Step.ANSWER_FRAME, MatrixFault.CALLER_VANISHES, "in the middle of a stream",
				(vm, caller) -> vanish(vm, caller, 600)));
		cases.add(new CallerCase(Step.RECORD, MatrixFault.CALLER_VANISHES, "before a payout's answer",
				CallerFaultMatrixTests::vanishFromPayout));
		cases.add(new CallerCase(Step.ANNOUNCEMENT, MatrixFault.MESSAGE_TWICE, "the same announcement",
				CallerFaultMatrixTests::announceTwice));
		cases.add(new CallerCase(Step.ANNOUNCEMENT, MatrixFault.MESSAGE_OUT_OF_ORDER, "an earlier one after leaving",
				CallerFaultMatrixTests::announceOutOfOrder));
		cases.add(new CallerCase(Step.ANNOUNCEMENT, MatrixFault.MESSAGE_OUT_OF_ORDER, "an older incarnation",
				CallerFaultMatrixTests::announceOldIncarnation));
		cases.add(new CallerCase(Step.ANNOUNCEMENT, MatrixFault.MESSAGE_LOST, "all of one target's after leaving",
				CallerFaultMatrixTests::announcementsLost));
		cases.add(new CallerCase(Step.SHUTDOWN, MatrixFault.VM_STOPS, "during a stream",
				CallerFaultMatrixTests::stopDuringStream));
		return cases;
	}

	private static void wrong(List<CallerCase> cases, Step step, String name, int status, String method, String path,
			String body, String... headers) {
		cases.add(new CallerCase(step, MatrixFault.CALLER_IS_WRONG, name, (vm, caller) -> {
			HttpResponse<String> answer = caller.send(method, path, body, headers);
			assertThat(answer.statusCode()).as(answer.body()).isEqualTo(status);
			assertNotRun(vm, answer);
		}));
	}

	private static void assertNotRun(MatrixVm vm, HttpResponse<String> answer) {
		assertThat(answer.headers().firstValue("Vanillatrestle-Verdict")).contains("NOT_RUN");
		assertThat(runs(vm, RequestKind.PAYOUT)).isEmpty();
		assertThat(runs(vm, RequestKind.STREAM)).isEmpty();
	}

	private static List<Run> runs(MatrixVm vm, RequestKind kind) {
		return vm.runsByTarget(kind).stream().flatMap(List::stream).toList();
	}

	private static HttpResponse<String> payout(RawCaller caller, String key, String body) throws Exception {
		return caller.send("POST", "/ledger/payouts", body, AUTHORIZATION, BEARER, ONCE, key);
	}

	private static void otherBody(MatrixVm vm, RawCaller caller) throws Exception {
		payout(caller, "k-1", PAYOUT);
		HttpResponse<String> other = payout(caller, "k-1", PAYOUT.replace('5', '6'));
		assertThat(other.statusCode()).as(other.body()).isEqualTo(409);
		assertThat(other.body()).contains("\"attemptVerdict\":\"NOT_RUN\"");
		assertThat(runs(vm, RequestKind.PAYOUT)).hasSize(1);
	}

	private static void deadlineTooNear(MatrixVm vm, RawCaller caller) throws Exception {
		vm.targets(RequestKind.STREAM).forEach((target) -> target.fault(Fault.of(FaultMode.STALL, 0)));
		HttpResponse<String> answer = caller.send("POST", "/v1/chat/completions", CHAT, AUTHORIZATION, BEARER,
				"Vanillatrestle-Deadline-Millis", "50");
		assertThat(answer.statusCode()).isIn(503, 504);
		boolean notRun = answer.headers().firstValue("Vanillatrestle-Verdict").orElse("").equals("NOT_RUN");
		assertThat(notRun && !runs(vm, RequestKind.STREAM).isEmpty()).as("'not run' is true").isFalse();
	}

	private static void resendAtOnce(MatrixVm vm, RawCaller caller) throws Exception {
		List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
		for (int i = 0; i < 4; i++) {
			answers.add(caller.sendLater("POST", "/ledger/payouts", PAYOUT, AUTHORIZATION, BEARER, ONCE, "k-2"));
		}
		String first = answers.get(0).join().body();
		assertThat(answers).allSatisfy((answer) -> assertThat(answer.join().body()).isEqualTo(first));
		assertThat(runs(vm, RequestKind.PAYOUT)).hasSize(1);
	}

	private static void resendAfterStall(MatrixVm vm, RawCaller caller) throws Exception {
		assertThat(payout(caller, "k-0", PAYOUT).statusCode()).as("the ledger is open").isLessThan(300);
		vm.targets(RequestKind.PAYOUT).forEach((target) -> target.fault(Fault.of(FaultMode.STALL, 0)));
		HttpResponse<String> first = caller.send("POST", "/ledger/payouts", PAYOUT, AUTHORIZATION, BEARER, ONCE, "k-3",
				"Vanillatrestle-Deadline-Millis", "200");
		vm.targets(RequestKind.PAYOUT).forEach((target) -> target.fault(Fault.of(FaultMode.NONE, 0)));
		HttpResponse<String> resend = payout(caller, "k-3", PAYOUT);
		assertThat(first.headers().firstValue("Vanillatrestle-Verdict")).contains("MAY_HAVE_RUN");
		assertThat(resend.statusCode()).as(resend.body()).isEqualTo(409);
		assertThat(resend.headers().firstValue("Vanillatrestle-Verdict")).contains("MAY_HAVE_RUN");
		assertThat(runs(vm, RequestKind.PAYOUT)).filteredOn((run) -> "k-3".equals(run.key())).hasSize(1);
	}

	private static void resendAfterAnswer(MatrixVm vm, RawCaller caller) throws Exception {
		HttpResponse<String> first = payout(caller, "k-4", PAYOUT);
		HttpResponse<String> resend = payout(caller, "k-4", PAYOUT);
		assertThat(resend.body()).isEqualTo(first.body());
		assertThat(resend.headers().firstValue("Vanillatrestle-Replayed")).contains("true");
		assertThat(runs(vm, RequestKind.PAYOUT)).hasSize(1);
	}

	private static void vanish(MatrixVm vm, RawCaller caller, int bytes) throws Exception {
		caller.sendAndLeave("/v1/chat/completions", CHAT, MatrixVm.KEY, "", bytes);
		await(() -> !runs(vm, RequestKind.STREAM).isEmpty());
		await(() -> runs(vm, RequestKind.STREAM).stream().noneMatch((run) -> run.outcome() == Run.Outcome.RUNNING));
		assertThat(runs(vm, RequestKind.STREAM)).as("the engine's stream is cancelled")
			.noneMatch((run) -> run.outcome() == Run.Outcome.RUNNING || run.outcome() == Run.Outcome.COMPLETED);
	}

	private static void vanishFromPayout(MatrixVm vm, RawCaller caller) throws Exception {
		caller.sendAndLeave("/ledger/payouts", PAYOUT, MatrixVm.KEY, "k-5", 0);
		HttpResponse<String> resend = payout(caller, "k-5", PAYOUT);
		assertThat(resend.statusCode()).as(resend.body()).isLessThan(300);
		assertThat(runs(vm, RequestKind.PAYOUT)).hasSize(1);
	}

	private static HttpResponse<String> announce(RawCaller caller, long incarnation, long sequence, boolean leaving)
			throws Exception {
		return caller.send("POST", "/v1/targets/extra", ANNOUNCEMENT.formatted(incarnation, sequence, leaving));
	}

	private static void announceTwice(MatrixVm vm, RawCaller caller) throws Exception {
		assertThat(announce(caller, 2, 1, true).statusCode()).isEqualTo(200);
		assertThat(announce(caller, 2, 1, true).statusCode()).isEqualTo(200);
		assertOthersServe(caller);
	}

	private static void announceOutOfOrder(MatrixVm vm, RawCaller caller) throws Exception {
		announce(caller, 2, 5, true);
		assertThat(announce(caller, 2, 4, false).statusCode()).isEqualTo(200);
		assertOthersServe(caller);
	}

	private static void announceOldIncarnation(MatrixVm vm, RawCaller caller) throws Exception {
		announce(caller, 2, 5, true);
		assertThat(announce(caller, 1, 9, false).statusCode()).isEqualTo(409);
		assertOthersServe(caller);
	}

	private static void announcementsLost(MatrixVm vm, RawCaller caller) throws Exception {
		StandInTarget leaving = vm.targets(RequestKind.BALANCE).get(0);
		leaving.announcer().leave().join();
		leaving.announcer().pause(true);
		int before = leaving.runs().size();
		assertOthersServe(caller);
		assertThat(leaving.runs()).as("a leaving target gets no new work").hasSize(before);
	}

	/**
	 * The extra target listens nowhere: if it were chosen, an attempt would be lost.
	 * @param caller the caller
	 * @throws Exception if a request can't be sent
	 */
	private static void assertOthersServe(RawCaller caller) throws Exception {
		for (int i = 0; i < 20; i++) {
			HttpResponse<String> answer = caller.send("GET", "/ledger/balances/1", "", AUTHORIZATION, BEARER);
			assertThat(answer.statusCode()).as(answer.body()).isEqualTo(200);
			assertThat(answer.headers().firstValue("Vanillatrestle-Attempts")).contains("1");
		}
	}

	private static void stopDuringStream(MatrixVm vm, RawCaller caller) throws Exception {
		CompletableFuture<HttpResponse<String>> stream = caller.sendLater("POST", "/v1/chat/completions", CHAT,
				AUTHORIZATION, BEARER);
		await(() -> !runs(vm, RequestKind.STREAM).isEmpty());
		vm.node().close();
		assertThat(stream.join().body()).endsWith("data: [DONE]\n\n");
	}

	private static void await(BooleanSupplier condition) throws InterruptedException {
		for (int i = 0; i < MAX_POLLS && !condition.getAsBoolean(); i++) {
			Thread.sleep(POLL_MILLIS);
		}
	}

	@ParameterizedTest
	@MethodSource("cases")
	void shouldKeepThePromisesWhateverCallersDo(CallerCase callerCase) throws Exception {
		callerCase.script().run(this.vm, this.caller);
	}

	@Test
	void shouldHaveACaseOrAReasonInEachCell() {
		Map<Step, Map<MatrixFault, Long>> counts = new EnumMap<>(Step.class);
		Stream
			.concat(cases().stream().map((one) -> Map.entry(one.step(), one.fault())),
					FaultMatrixTests.targetCases().stream().map((one) -> Map.entry(one.step(), one.fault())))
			.forEach((cell) -> counts.computeIfAbsent(cell.getKey(), (step) -> new EnumMap<>(MatrixFault.class))
				.merge(cell.getValue(), 1L, Long::sum));
		for (Step step : Step.values()) {
			Map<MatrixFault, Long> row = counts.getOrDefault(step, Map.of());
			System.out.println("Fault matrix: " + step + " " + row);
			for (MatrixFault fault : MatrixFault.values()) {
				assertThat(row.containsKey(fault) || fault.reasonForNoCase(step).isPresent())
					.as("no case and no reason for %s at %s", fault, step)
					.isTrue();
			}
		}
	}

}
