package org.vanillatrestle.bench.serving;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
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
import org.vanillatrestle.bench.internal.standin.StandInPlace;
import org.vanillatrestle.bench.internal.standin.StandInTarget;
import org.vanillatrestle.bench.internal.standin.TargetPrice;
import org.vanillatrestle.bench.internal.standin.TargetProfile;
import org.vanillatrestle.daemon.internal.pipeline.BearerKeys;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * An engine breaks off a stream near its end while other requests are queued. The
 * estimate for new requests counts the time of a whole answer and refuses the rest of the
 * stream, which would end long before its deadline.
 */
class BegunStreamRetryTests {

	private static final String KEY = "clerk-key";

	private static final int TOKENS = 40;

	private static final int LONG_TOKENS = 200;

	private static final int BREAK_AFTER_CHUNKS = 30;

	private static final int QUEUED_REQUESTS = 3;

	private static final EngineTiming TIMING = new EngineTiming(50_000, 0, 0, 64, 64, 4096, 0);

	private static final String DEADLINE_MILLIS = "3000";

	private static final String LONG_DEADLINE_MILLIS = "30000";

	private final HttpClient http = HttpClient.newHttpClient();

	private Regions regions;

	private StandInTarget engine;

	private StandInTarget otherEngine;

	@BeforeEach
	void start(@TempDir Path folder) throws Exception {
		this.regions = new Regions(folder, "bagmati");
		this.regions.apply(Contract.builder(new CustomerId("himdugdha"), 1)
			.allowedRegions(Set.of(new RegionId("bagmati")))
			.callers(List.of(new Caller(new CallerName("clerks"), new RegionId("bagmati"), BearerKeys.sha256(KEY))))
			.services(List.of(ContractService.builder(new ServiceName("sheets"), ServiceKind.MODEL)
				.models(Set.of(new ModelName("sheet-1")))
				.build()))
			.build());
		this.engine = startEngineWithOneSlot("e1");
		this.otherEngine = startEngineWithOneSlot("e2");
		Regions.await(() -> {
			chat(TOKENS, LONG_DEADLINE_MILLIS).join();
			return !this.engine.runs().isEmpty() && !this.otherEngine.runs().isEmpty();
		});
	}

	private StandInTarget startEngineWithOneSlot(String id) throws Exception {
		TargetProfile profile = new TargetProfile(id, "MODEL", "bagmati-a", "sheets", "", List.of("sheet-1"),
				new TargetPrice(1, 20, 1000, 0), List.of(this.regions.address("bagmati")), "");
		return StandInEngine.start(new EngineSettings(new StandInPlace("127.0.0.1", 0, profile), TIMING));
	}

	@AfterEach
	void stop() {
		this.regions.close();
		this.engine.close();
		this.otherEngine.close();
	}

	@Test
	void shouldResumeABrokenStreamAtAnEngineThatWouldBeTooBusyForANewRequest() throws Exception {
		CompletableFuture<HttpResponse<String>> longAnswer = chat(LONG_TOKENS, LONG_DEADLINE_MILLIS);
		Regions.await(() -> isBusy(this.engine) || isBusy(this.otherEngine));
		StandInTarget busy = isBusy(this.engine) ? this.engine : this.otherEngine;
		StandInTarget breaking = (busy == this.engine) ? this.otherEngine : this.engine;
		breaking.fault(new Fault(FaultMode.CRASH_AFTER, BREAK_AFTER_CHUNKS, 1, 1));

		CompletableFuture<HttpResponse<String>> begun = chat(TOKENS, DEADLINE_MILLIS);
		Regions.await(() -> isBusy(breaking));
		for (int i = 0; i < QUEUED_REQUESTS; i++) {
			chat(TOKENS, LONG_DEADLINE_MILLIS);
		}
		HttpResponse<String> answer = begun.get(20, TimeUnit.SECONDS);

		assertThat(longAnswer.isDone()).as("the other engine is still busy").isFalse();
		assertThat(answer.body()).endsWith("data: [DONE]\n\n");
		assertThat(answer.body().lines().filter((line) -> line.contains("\"content\""))).hasSize(TOKENS);
		assertThat(breaking.runs()).as("the stream broke").anyMatch((run) -> run.outcome() == Run.Outcome.BROKEN);
	}

	private static boolean isBusy(StandInTarget target) {
		List<Run> runs = target.runs();
		return runs.get(runs.size() - 1).outcome() == Run.Outcome.RUNNING;
	}

	private CompletableFuture<HttpResponse<String>> chat(int tokens, String deadlineMillis) {
		String body = "{\"model\": \"sheet-1\", \"stream\": true, \"max_tokens\": " + tokens
				+ ", \"messages\": [{\"role\": \"user\", \"content\": \"Explain " + System.nanoTime() + ".\"}]}";
		HttpRequest request = HttpRequest
			.newBuilder(URI.create("http://" + this.regions.address("bagmati") + "/v1/chat/completions"))
			.header("Authorization", "Bearer " + KEY)
			.header("Vanillatrestle-Deadline-Millis", deadlineMillis)
			.POST(HttpRequest.BodyPublishers.ofString(body))
			.build();
		return this.http.sendAsync(request, HttpResponse.BodyHandlers.ofString());
	}

}
