package org.vanillatrestle.bench.serving;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.vanillatrestle.Caller;
import org.vanillatrestle.CallerName;
import org.vanillatrestle.Contract;
import org.vanillatrestle.ContractService;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.ModelName;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.ServiceKind;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.bench.internal.engine.EngineSettings;
import org.vanillatrestle.bench.internal.engine.EngineTiming;
import org.vanillatrestle.bench.internal.engine.StandInEngine;
import org.vanillatrestle.bench.internal.standin.Fault;
import org.vanillatrestle.bench.internal.standin.FaultMode;
import org.vanillatrestle.bench.internal.standin.Run;
import org.vanillatrestle.bench.internal.standin.StandInTarget;
import org.vanillatrestle.daemon.internal.pipeline.BearerKeys;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * An engine is silent for longer than the VM waits before it looks for another one, and
 * then goes on. An answer that the VM gives up for the silence is lost if no other engine
 * takes the request.
 */
class SilentTargetTests {

	private static final String KEY = "clerk-key";

	private static final int TOKENS = 40;

	private static final long STEP_MICROS = 20_000;

	/**
	 * Makes one step of an engine take 12 s. A stream is stalled after 5 s of silence,
	 * which the VM sees 10 s after the silence began at the latest.
	 */
	private static final Fault SILENT = new Fault(FaultMode.SLOW, 0, 600, 0);

	private static final Fault SILENT_FOR_GOOD = new Fault(FaultMode.SLOW, 0, 5_000, 0);

	private static final long STEP_BEGINS_MILLIS = 200;

	private Regions regions;

	private StandInTarget engine;

	private StandInTarget otherEngine;

	@BeforeEach
	void start(@TempDir Path folder) throws Exception {
		this.regions = new Regions(folder, "bagmati");
		this.regions.apply(contract());
		this.engine = startEngine("e1");
		this.otherEngine = startEngine("e2");
		Regions.await(() -> {
			chat(1, true);
			return !this.engine.runs().isEmpty() && !this.otherEngine.runs().isEmpty();
		});
	}

	@AfterEach
	void stop() {
		this.regions.close();
		this.engine.close();
		this.otherEngine.close();
	}

	private StandInTarget startEngine(String id) throws Exception {
		return StandInEngine
			.start(EngineSettings.fast(id, "bagmati-a", "sheets", "sheet-1", List.of(this.regions.address("bagmati")))
				.withTiming(new EngineTiming(STEP_MICROS, 0, 0, 64, 64, 4096, 0)));
	}

	private static Contract contract() {
		return Contract.builder(new CustomerId("himdugdha"), 1)
			.allowedRegions(Set.of(new RegionId("bagmati")))
			.callers(List.of(new Caller(new CallerName("clerks"), new RegionId("bagmati"), BearerKeys.sha256(KEY))))
			.services(List.of(ContractService.builder(new ServiceName("sheets"), ServiceKind.MODEL)
				.models(Set.of(new ModelName("sheet-1")))
				.build()))
			.build();
	}

	@Test
	void shouldKeepASilentStreamThatNoOtherEngineCanTake() throws Exception {
		this.otherEngine.close();
		this.engine.close();
		this.engine = startEngine("e3");
		Regions.await(() -> {
			chat(1, true);
			return !this.engine.runs().isEmpty();
		});
		CompletableFuture<HttpResponse<String>> answer = chatLater(true);
		awaitBegun(this.engine);
		fallSilent(this.engine);
		assertWhole(answer);
	}

	@Test
	void shouldKeepASilentStreamThatTheOtherEngineRefuses() throws Exception {
		CompletableFuture<HttpResponse<String>> answer = chatLater(true);
		StandInTarget silent = awaitBegun(this.engine, this.otherEngine);
		other(silent).fault(Fault.of(FaultMode.REFUSE, 0));
		fallSilent(silent);
		assertWhole(answer);
	}

	@Test
	void shouldKeepARequestThatIsSilentBeforeItsAnswerIfTheOtherEngineRefusesIt() throws Exception {
		CompletableFuture<HttpResponse<String>> answer = chatLater(false);
		StandInTarget silent = awaitBegun(this.engine, this.otherEngine);
		other(silent).fault(Fault.of(FaultMode.REFUSE, 0));
		fallSilent(silent);
		HttpResponse<String> whole = answer.get(40, TimeUnit.SECONDS);
		assertThat(whole.statusCode()).as(whole.body()).isEqualTo(200);
	}

	@Test
	void shouldContinueAStreamThatStaysSilentAtTheOtherEngine() throws Exception {
		CompletableFuture<HttpResponse<String>> answer = chatLater(true);
		StandInTarget silent = awaitBegun(this.engine, this.otherEngine);
		silent.fault(SILENT_FOR_GOOD);
		assertWhole(answer);
		assertThat(lastRun(other(silent)).outcome()).isEqualTo(Run.Outcome.COMPLETED);
	}

	private static void fallSilent(StandInTarget target) throws InterruptedException {
		target.fault(SILENT);
		Thread.sleep(STEP_BEGINS_MILLIS);
		target.fault(Fault.NONE);
	}

	private StandInTarget other(StandInTarget target) {
		return (target == this.engine) ? this.otherEngine : this.engine;
	}

	private static StandInTarget awaitBegun(StandInTarget... targets) throws Exception {
		StandInTarget[] found = new StandInTarget[1];
		Callable<Boolean> begun = () -> {
			for (StandInTarget target : targets) {
				Run last = lastRun(target);
				if (last.outcome() == Run.Outcome.RUNNING && last.sentChunks() > 2) {
					found[0] = target;
				}
			}
			return found[0] != null;
		};
		Regions.await(begun);
		assertThat(found[0]).as("an engine has begun to answer").isNotNull();
		return found[0];
	}

	private static Run lastRun(StandInTarget target) {
		List<Run> runs = target.runs();
		return runs.get(runs.size() - 1);
	}

	private static void assertWhole(CompletableFuture<HttpResponse<String>> answer) throws Exception {
		HttpResponse<String> whole = answer.get(40, TimeUnit.SECONDS);
		assertThat(whole.statusCode()).as(whole.body()).isEqualTo(200);
		assertThat(whole.body()).endsWith("data: [DONE]\n\n");
		assertThat(whole.body().lines().filter((line) -> line.contains("\"content\""))).hasSize(TOKENS);
	}

	private CompletableFuture<HttpResponse<String>> chatLater(boolean stream) {
		return CompletableFuture.supplyAsync(() -> {
			try {
				return chat(TOKENS, stream);
			}
			catch (Exception ex) {
				throw new CompletionException(ex);
			}
		});
	}

	private HttpResponse<String> chat(int tokens, boolean stream) throws Exception {
		String body = "{\"model\": \"sheet-1\", \"stream\": " + stream + ", \"max_tokens\": " + tokens
				+ ", \"messages\": [{\"role\": \"user\", \"content\": \"Explain " + System.nanoTime() + ".\"}]}";
		return this.regions.post("bagmati", "/v1/chat/completions", KEY, "", body);
	}

}
