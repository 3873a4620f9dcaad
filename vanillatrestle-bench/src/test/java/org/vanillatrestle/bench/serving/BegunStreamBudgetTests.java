package org.vanillatrestle.bench.serving;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.vanillatrestle.bench.internal.standin.Fault;
import org.vanillatrestle.bench.internal.standin.FaultMode;
import org.vanillatrestle.bench.internal.standin.Run;
import org.vanillatrestle.bench.internal.standin.StandInTarget;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a stream that is broken off with its engine because other requests,
 * which engines refused, have used up the service's retry budget.
 */
class BegunStreamBudgetTests {

	private static final int TOKENS = 200;

	// each is sent to a second engine at least, and the burst is 20 retries
	private static final int REFUSED_REQUESTS = 30;

	@Test
	void shouldContinueABegunStreamAfterOtherRequestsHaveUsedTheirRetries(@TempDir Path folder) throws Exception {
		try (BegunStreams streams = BegunStreams.start(folder, "bagmati")) {
			List<StandInTarget> engines = new ArrayList<>();
			for (String id : List.of("e1", "e2", "e3")) {
				engines.add(streams.startEngine(id, "bagmati", 64));
			}
			streams.awaitUsed("bagmati", engines.toArray(StandInTarget[]::new));
			CompletableFuture<HttpResponse<String>> begun = streams.ask("bagmati", TOKENS,
					BegunStreams.LONG_DEADLINE_MILLIS);
			Regions.await(() -> engines.stream().anyMatch(BegunStreamBudgetTests::hasBegun));
			StandInTarget breaking = engines.stream()
				.filter(BegunStreamBudgetTests::hasBegun)
				.findFirst()
				.orElseThrow();
			engines.forEach((engine) -> engine.fault(Fault.of(FaultMode.REFUSE, 0)));
			for (int i = 0; i < REFUSED_REQUESTS; i++) {
				streams.ask("bagmati", 1, BegunStreams.LONG_DEADLINE_MILLIS).join();
			}
			engines.forEach((engine) -> engine.fault(Fault.NONE));
			assertThat(hasBegun(breaking)).isTrue();
			breaking.close();
			BegunStreams.assertWhole(begun, TOKENS);
		}
	}

	private static boolean hasBegun(StandInTarget engine) {
		Run last = BegunStreams.lastRun(engine);
		return last.outcome() == Run.Outcome.RUNNING && last.sentChunks() > 2;
	}

}
