package org.vanillatrestle.bench.serving;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
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
import org.vanillatrestle.bench.internal.standin.Run;
import org.vanillatrestle.bench.internal.standin.StandInTarget;
import org.vanillatrestle.daemon.internal.pipeline.BearerKeys;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * An engine leaves, or a contract loses the service, while a stream is in progress. Both
 * decide about new requests only: a stream that is cut by them is lost.
 */
class ContractedChangeInProgressTests {

	private static final String KEY = "clerk-key";

	private static final int TOKENS = 100;

	private static final EngineTiming TIMING = new EngineTiming(50_000, 0, 0, 64, 64, 4096, 0);

	private Regions regions;

	private StandInTarget engine;

	@BeforeEach
	void start(@TempDir Path folder) throws Exception {
		this.regions = new Regions(folder, "bagmati");
		this.regions.apply(contract(1, "sheet-1"));
		List<String> entries = List.of(this.regions.address("bagmati"));
		this.engine = StandInEngine
			.start(EngineSettings.fast("e1", "bagmati-a", "sheets", "sheet-1", entries).withTiming(TIMING));
		Regions.await(() -> chat(1).statusCode() == 200);
	}

	private static Contract contract(int version, String model) {
		return Contract.builder(new CustomerId("himdugdha"), version)
			.allowedRegions(Set.of(new RegionId("bagmati")))
			.callers(List.of(new Caller(new CallerName("clerks"), new RegionId("bagmati"), BearerKeys.sha256(KEY))))
			.services(List.of(ContractService.builder(new ServiceName("sheets"), ServiceKind.MODEL)
				.models(Set.of(new ModelName(model)))
				.build()))
			.build();
	}

	@AfterEach
	void stop() {
		this.regions.close();
		this.engine.close();
	}

	@Test
	void shouldEndAStreamWholeWhenItsEngineAnnouncesThatItLeaves() throws Exception {
		CompletableFuture<HttpResponse<String>> answer = chatLater();
		this.engine.announcer().leave().join();
		assertWhole(answer);
	}

	@Test
	void shouldEndAStreamWholeWhenItsContractNoLongerAllowsItsModel() throws Exception {
		CompletableFuture<HttpResponse<String>> answer = chatLater();
		this.regions.apply(contract(2, "sheet-2"));
		Regions.await(() -> chat(1).statusCode() != 200);
		assertWhole(answer);
	}

	private void assertWhole(CompletableFuture<HttpResponse<String>> answer) throws Exception {
		assertThat(answer.isDone()).as("the stream is in progress after the change").isFalse();
		HttpResponse<String> refused = chat(1);
		assertThat(refused.statusCode()).as("a new request: " + refused.body()).isNotEqualTo(200);
		HttpResponse<String> whole = answer.get(20, TimeUnit.SECONDS);
		assertThat(whole.body()).endsWith("data: [DONE]\n\n");
		assertThat(whole.body().lines().filter((line) -> line.contains("\"content\""))).hasSize(TOKENS);
	}

	private CompletableFuture<HttpResponse<String>> chatLater() throws Exception {
		CompletableFuture<HttpResponse<String>> answer = CompletableFuture.supplyAsync(() -> {
			try {
				return chat(TOKENS);
			}
			catch (Exception ex) {
				throw new CompletionException(ex);
			}
		});
		Regions.await(() -> {
			List<Run> runs = this.engine.runs();
			Run last = runs.get(runs.size() - 1);
			return last.outcome() == Run.Outcome.RUNNING && last.sentChunks() > 2;
		});
		return answer;
	}

	private HttpResponse<String> chat(int tokens) throws Exception {
		String body = "{\"model\": \"sheet-1\", \"stream\": true, \"max_tokens\": " + tokens
				+ ", \"messages\": [{\"role\": \"user\", \"content\": \"Explain " + System.nanoTime() + ".\"}]}";
		return this.regions.post("bagmati", "/v1/chat/completions", KEY, "", body);
	}

}
