package org.vanillatrestle.bench.serving;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.vanillatrestle.CallRule;
import org.vanillatrestle.Caller;
import org.vanillatrestle.CallerName;
import org.vanillatrestle.Contract;
import org.vanillatrestle.ContractService;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.ModelName;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.Repeat;
import org.vanillatrestle.ServiceKind;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.bench.internal.engine.EngineSettings;
import org.vanillatrestle.bench.internal.engine.StandInEngine;
import org.vanillatrestle.bench.internal.service.ServiceSettings;
import org.vanillatrestle.bench.internal.service.StandInService;
import org.vanillatrestle.bench.internal.standin.Fault;
import org.vanillatrestle.bench.internal.standin.FaultMode;
import org.vanillatrestle.bench.internal.standin.StandInTarget;
import org.vanillatrestle.daemon.internal.pipeline.BearerKeys;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What callers see of three regions, where one has an engine and another a plain service.
 */
class ThreeRegionTests {

	private static final String EVERYWHERE = "everywhere-key";

	private static final String BOUND = "bound-key";

	private static final String CHAT = "{\"model\": \"sheet-1\", \"stream\": true, \"max_tokens\": 4,"
			+ " \"messages\": [{\"role\": \"user\", \"content\": \"Explain.\"}]}";

	private static final String PAYOUT = "{\"account\": \"17\", \"amount\": 5}";

	private static Regions regions;

	private static StandInTarget engine;

	private static StandInTarget service;

	@BeforeAll
	static void start(@TempDir Path folder) throws Exception {
		regions = new Regions(folder, "bagmati", "koshi", "lumbini");
		regions.apply(contract("everywhere", EVERYWHERE, "bagmati", "koshi", "lumbini"));
		regions.apply(contract("bound", BOUND, "bagmati", "lumbini"));
		engine = StandInEngine
			.start(EngineSettings.fast("e1", "koshi-a", "sheets", "sheet-1", List.of(regions.address("koshi"))));
		service = StandInService.start(
				ServiceSettings.fast("s1", "bagmati-a", "ledger", "everywhere", List.of(regions.address("bagmati"))));
		Regions.await(() -> chat("bagmati", EVERYWHERE).statusCode() == 200);
		for (String region : new String[] { "bagmati", "koshi", "lumbini" }) {
			Regions.await(() -> regions.get(region, "/ledger/balances/1", EVERYWHERE).statusCode() == 200);
		}
	}

	@AfterAll
	static void stop() {
		engine.close();
		service.close();
		regions.close();
	}

	private static Contract contract(String customer, String key, String... allowed) {
		Set<RegionId> regionIds = Stream.of(allowed).map(RegionId::new).collect(Collectors.toSet());
		return Contract.builder(new CustomerId(customer), 1)
			.allowedRegions(regionIds)
			.callers(List.of(new Caller(new CallerName("clerks"), new RegionId("bagmati"), BearerKeys.sha256(key))))
			.services(List.of(
					ContractService.builder(new ServiceName("sheets"), ServiceKind.MODEL)
						.models(Set.of(new ModelName("sheet-1")))
						.build(),
					ContractService.builder(new ServiceName("ledger"), ServiceKind.PLAIN)
						.calls(List.of(new CallRule("POST", "/payouts", Repeat.AT_MOST_ONCE, true)))
						.build()))
			.build();
	}

	private static HttpResponse<String> chat(String region, String key) throws Exception {
		return regions.post(region, "/v1/chat/completions", key, "", CHAT);
	}

	@Test
	void shouldServeInAnotherAllowedRegionWhenHomeHasNoTarget() throws Exception {
		HttpResponse<String> answer = chat("bagmati", EVERYWHERE);
		assertThat(answer.statusCode()).as(answer.body()).isEqualTo(200);
		assertThat(answer.headers().firstValue("Vanillatrestle-Region")).contains("koshi");
		assertThat(answer.body()).endsWith("data: [DONE]\n\n");
	}

	@Test
	void shouldMakeFourAttemptsAtMostOnBothVmsTogether() throws Exception {
		List<StandInTarget> remote = startEngines("koshi", 4);
		List<StandInTarget> local = startEngines("lumbini", 3);
		Regions.await(() -> chat("lumbini", EVERYWHERE).statusCode() == 200
				&& local.stream().noneMatch((used) -> used.runs().isEmpty()));
		engine.fault(Fault.of(FaultMode.CRASH_AFTER, 0));
		remote.forEach((broken) -> broken.fault(Fault.of(FaultMode.CRASH_AFTER, 0)));
		local.forEach(StandInTarget::close);

		HttpResponse<String> answer = chat("lumbini", EVERYWHERE);

		engine.fault(Fault.NONE);
		remote.forEach((broken) -> broken.announcer().leave().join());
		remote.forEach(StandInTarget::close);
		local.forEach((gone) -> gone.announcer().leave().join());
		Regions
			.await(() -> chat("bagmati", EVERYWHERE).statusCode() == 200 && chat("bagmati", BOUND).statusCode() == 503);
		assertThat(answer.headers().firstValue("Vanillatrestle-Attempts")).contains("4");
		String id = answer.headers().firstValue("Vanillatrestle-Request-Id").orElseThrow();
		remote.add(engine);
		assertThat(remote.stream().flatMap((broken) -> broken.runs().stream()))
			.filteredOn((run) -> id.equals(run.requestId()))
			.hasSize(1);
	}

	private static List<StandInTarget> startEngines(String region, int count) throws IOException {
		List<StandInTarget> started = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			started.add(StandInEngine.start(EngineSettings.fast(region + "-" + i, region + "-a", "sheets", "sheet-1",
					List.of(regions.address(region)))));
		}
		return started;
	}

	@Test
	void shouldNeverSendARequestToARegionThatTheContractForbids() throws Exception {
		int before = engine.runs().size();
		HttpResponse<String> answer = chat("bagmati", BOUND);
		assertThat(answer.statusCode()).as(answer.body()).isEqualTo(503);
		assertThat(answer.headers().firstValue("Vanillatrestle-Verdict")).contains("NOT_RUN");
		assertThat(engine.runs()).hasSize(before);
	}

	@Test
	void shouldTellWhenToComeBackIfTheOnlyEngineThatTheContractAllowsHasCrashed() throws Exception {
		List<StandInTarget> crashed = startEngines("lumbini", 1);
		Regions.await(() -> chat("bagmati", BOUND).statusCode() == 200);
		crashed.forEach(StandInTarget::close);

		HttpResponse<String> answer = chat("bagmati", BOUND);

		crashed.forEach((gone) -> gone.announcer().leave().join());
		assertThat(answer.statusCode()).as(answer.body()).isEqualTo(503);
		assertThat(answer.body()).contains("\"NO_CAPACITY\"", "\"NOT_RUN\"", "\"retryAfterMillis\"");
	}

	@Test
	void shouldNameOtherEntryVmsWhereTheRegionIsForbidden() throws Exception {
		HttpResponse<String> answer = chat("koshi", BOUND);
		assertThat(answer.statusCode()).isEqualTo(421);
		assertThat(answer.body()).contains("\"verdict\":\"NOT_RUN\"").contains("entries");
	}

	@Test
	void shouldGiveTheStoredAnswerToAResendInAnotherRegion() throws Exception {
		HttpResponse<String> first = regions.post("lumbini", "/ledger/payouts", EVERYWHERE, "once-1", PAYOUT);
		HttpResponse<String> resend = regions.post("koshi", "/ledger/payouts", EVERYWHERE, "once-1", PAYOUT);
		assertThat(first.statusCode()).as(first.body()).isLessThan(300);
		assertThat(resend.body()).isEqualTo(first.body());
		assertThat(service.runs()).filteredOn((run) -> "once-1".equals(run.key())).hasSize(1);
	}

	@Test
	void shouldListOnlyAllowedEntryVmsWithTheHomeRegionFirst() throws Exception {
		HttpResponse<String> answer = regions.get("lumbini", "/v1/entry", BOUND);
		assertThat(answer.statusCode()).isEqualTo(200);
		assertThat(answer.body()).contains("\"home\":\"bagmati\"").contains("ttlMillis");
	}

}
