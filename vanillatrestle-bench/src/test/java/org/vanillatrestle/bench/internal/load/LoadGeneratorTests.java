package org.vanillatrestle.bench.internal.load;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.vanillatrestle.bench.internal.engine.EngineSettings;
import org.vanillatrestle.bench.internal.engine.StandInEngine;
import org.vanillatrestle.bench.internal.service.ServiceSettings;
import org.vanillatrestle.bench.internal.service.StandInService;
import org.vanillatrestle.bench.internal.standin.Fault;
import org.vanillatrestle.bench.internal.standin.FaultMode;
import org.vanillatrestle.bench.internal.standin.StandInTarget;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LoadGenerator}.
 */
class LoadGeneratorTests {

	private static final LoadShape SHAPE = new LoadShape(200, 0, 400, 50, 7);

	@ParameterizedTest
	@EnumSource(value = RequestKind.class, names = { "STREAM", "WHOLE" })
	void shouldFindEveryAnswerOfAnEngineWhole(RequestKind kind) throws Exception {
		try (StandInTarget engine = engine()) {
			LoadResult result = run(engine, kind, "draft-1");
			assertThat(result.count(AnswerKind.WHOLE)).isEqualTo(engine.runs().size()).isGreaterThan(20);
			assertThat(result.total().getTotalCount()).isEqualTo(engine.runs().size());
		}
	}

	@ParameterizedTest
	@EnumSource(value = RequestKind.class, names = { "BALANCE", "PAYOUT" })
	void shouldFindEveryAnswerOfAServiceWhole(RequestKind kind) throws Exception {
		try (StandInTarget service = StandInService
			.start(ServiceSettings.fast("l1", "koshi-1", "ledger", "", List.of()))) {
			LoadResult result = run(service, kind, "ledger");
			assertThat(result.count(AnswerKind.WHOLE)).isEqualTo(service.runs().size()).isGreaterThan(20);
			assertThat(service.runs()).map((run) -> run.key() + run.path()).doesNotHaveDuplicates();
		}
	}

	@ParameterizedTest
	@CsvSource({ "SHORT, FALSE_WHOLE", "GARBAGE, FALSE_WHOLE", "CRASH_AFTER, BROKEN", "REFUSE, ERROR" })
	void shouldNameWhatIsWrongWithAStream(FaultMode mode, AnswerKind expected) throws Exception {
		try (StandInTarget engine = engine()) {
			engine.fault(Fault.of(mode, 2));
			LoadResult result = run(engine, RequestKind.STREAM, "draft-1");
			assertThat(result.count(expected)).isGreaterThan(20);
			assertThat(result.count(AnswerKind.WHOLE)).isZero();
		}
	}

	@Test
	void shouldCountLatencyFromTheIntendedStart() throws Exception {
		LoadShape oneInFlight = new LoadShape(500, 0, 300, 1, 7);
		try (StandInTarget engine = engine()) {
			LoadResult result = LoadGenerator.run(address(engine), template(RequestKind.STREAM, "draft-1"), oneInFlight,
					1);
			long shortestNanos = result.total().getMinValue();
			assertThat(result.total().getMaxValue()).isGreaterThan(5 * shortestNanos);
		}
	}

	private static StandInTarget engine() throws IOException {
		return StandInEngine.start(EngineSettings.fast("e1", "sanjose-1", "drafts", "draft-1", List.of()));
	}

	private static LoadResult run(StandInTarget target, RequestKind kind, String name) throws InterruptedException {
		return LoadGenerator.run(address(target), template(kind, name), SHAPE, 1);
	}

	private static RequestTemplate template(RequestKind kind, String name) {
		return RequestTemplate.of(kind, name, 5, "");
	}

	private static List<InetSocketAddress> address(StandInTarget target) {
		return List.of(new InetSocketAddress("127.0.0.1", target.port()));
	}

}
