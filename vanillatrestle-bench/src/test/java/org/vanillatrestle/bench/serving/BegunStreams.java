package org.vanillatrestle.bench.serving;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

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
import org.vanillatrestle.bench.internal.standin.StandInPlace;
import org.vanillatrestle.bench.internal.standin.StandInTarget;
import org.vanillatrestle.bench.internal.standin.TargetPrice;
import org.vanillatrestle.bench.internal.standin.TargetProfile;
import org.vanillatrestle.daemon.internal.pipeline.BearerKeys;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Regions with engines that send a token each 50 ms, and a caller of streams. Used by one
 * thread.
 */
final class BegunStreams implements AutoCloseable {

	static final long STEP_MILLIS = 50;

	static final long LONG_DEADLINE_MILLIS = 30_000;

	// more than a VM's share of it is ever asked for
	private static final long MAX_REQUESTS_PER_SECOND = 10_000;

	private static final int MAX_RUNNING = 64;

	private static final int MAX_QUEUED = 64;

	private static final int CACHE_BLOCKS = 4096;

	private static final String KEY = "clerk-key";

	private final HttpClient http = HttpClient.newHttpClient();

	private final Regions regions;

	private final List<StandInTarget> engines = new ArrayList<>();

	BegunStreams(Regions regions, String... names) throws Exception {
		this.regions = regions;
		this.regions.apply(Contract.builder(new CustomerId("himdugdha"), 1)
			.allowedRegions(Arrays.stream(names).map(RegionId::new).collect(Collectors.toSet()))
			.callers(List.of(new Caller(new CallerName("clerks"), new RegionId(names[0]), BearerKeys.sha256(KEY))))
			.services(List.of(ContractService.builder(new ServiceName("sheets"), ServiceKind.MODEL)
				.models(Set.of(new ModelName("sheet-1")))
				.maxRequestsPerSecond(MAX_REQUESTS_PER_SECOND)
				.build()))
			.build());
	}

	static BegunStreams start(Path folder, String... names) throws Exception {
		return new BegunStreams(new Regions(folder, names), names);
	}

	Regions regions() {
		return this.regions;
	}

	/**
	 * Starts an engine.
	 * @param id the engine's id
	 * @param region its region
	 * @param slots the number of requests that it announces; it runs more at once
	 * @return the engine
	 */
	StandInTarget startEngine(String id, String region, int slots) throws Exception {
		EngineTiming timing = new EngineTiming(TimeUnit.MILLISECONDS.toMicros(STEP_MILLIS), 0, 0, MAX_RUNNING,
				MAX_QUEUED, CACHE_BLOCKS, 0);
		TargetProfile profile = new TargetProfile(id, "MODEL", region + "-a", "sheets", "", List.of("sheet-1"),
				new TargetPrice(slots, 20L * slots, 1000, 0), List.of(this.regions.address(region)), "");
		StandInTarget engine = StandInEngine
			.start(new EngineSettings(new StandInPlace("127.0.0.1", 0, profile), timing));
		this.engines.add(engine);
		return engine;
	}

	/**
	 * Sends requests to a region until each of the engines has run one.
	 * @param region the region
	 * @param expected the engines
	 */
	void awaitUsed(String region, StandInTarget... expected) throws Exception {
		Regions.await(() -> {
			ask(region, 1, LONG_DEADLINE_MILLIS).join();
			return Arrays.stream(expected).noneMatch((engine) -> engine.runs().isEmpty());
		});
	}

	CompletableFuture<HttpResponse<String>> ask(String region, int tokens, long deadlineMillis) {
		String body = "{\"model\": \"sheet-1\", \"stream\": true, \"max_tokens\": " + tokens
				+ ", \"messages\": [{\"role\": \"user\", \"content\": \"Explain " + System.nanoTime() + ".\"}]}";
		HttpRequest request = HttpRequest
			.newBuilder(URI.create("http://" + this.regions.address(region) + "/v1/chat/completions"))
			.header("Authorization", "Bearer " + KEY)
			.header("Vanillatrestle-Deadline-Millis", Long.toString(deadlineMillis))
			.POST(HttpRequest.BodyPublishers.ofString(body))
			.build();
		return this.http.sendAsync(request, HttpResponse.BodyHandlers.ofString());
	}

	/**
	 * Waits until an engine has sent some events of its last stream.
	 * @param engine the engine
	 */
	static void awaitBegun(StandInTarget engine) throws Exception {
		Regions.await(() -> {
			Run last = lastRun(engine);
			return last != null && last.outcome() == Run.Outcome.RUNNING && last.sentChunks() > 2;
		});
		assertThat(lastRun(engine).outcome()).as("the stream has begun").isEqualTo(Run.Outcome.RUNNING);
	}

	static Run lastRun(StandInTarget engine) {
		List<Run> runs = engine.runs();
		return runs.isEmpty() ? null : runs.get(runs.size() - 1);
	}

	static void assertWhole(CompletableFuture<HttpResponse<String>> answer, int tokens) throws Exception {
		HttpResponse<String> whole = answer.get(40, TimeUnit.SECONDS);
		assertThat(whole.statusCode()).as(whole.body()).isEqualTo(200);
		assertThat(whole.body()).endsWith("data: [DONE]\n\n");
		assertThat(whole.body().lines().filter((line) -> line.contains("\"content\""))).hasSize(tokens);
	}

	@Override
	public void close() {
		this.regions.close();
		this.engines.forEach(StandInTarget::close);
	}

}
