package org.vanillatrestle.bench.serving;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.vanillatrestle.bench.internal.standin.Fault;
import org.vanillatrestle.bench.internal.standin.FaultMode;
import org.vanillatrestle.bench.internal.standin.StandInTarget;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A stream breaks off at the only engine of its region, and its rest is forwarded to a
 * region that has just become too busy for new requests. The VM there refuses the rest of
 * the answer like a new request.
 */
class ForwardedStreamTests {

	private static final int TOKENS = 60;

	private static final int LONG_TOKENS = 160;

	private static final int BREAK_AFTER_CHUNKS = 30;

	private static final int QUEUED_REQUESTS = 4;

	private BegunStreams streams;

	@BeforeEach
	void start(@TempDir Path folder) throws Exception {
		this.streams = BegunStreams.start(folder, "bagmati", "koshi");
	}

	@AfterEach
	void stop() {
		this.streams.close();
	}

	@Test
	void shouldContinueAForwardedStreamInARegionThatIsTooBusyForNewRequests() throws Exception {
		StandInTarget away = this.streams.startEngine("e2", "koshi", 1);
		this.streams.awaitUsed("bagmati", away);
		StandInTarget home = this.streams.startEngine("e1", "bagmati", 1);
		this.streams.awaitUsed("bagmati", home);
		home.fault(new Fault(FaultMode.CRASH_AFTER, BREAK_AFTER_CHUNKS, 1, 1));

		CompletableFuture<HttpResponse<String>> begun = this.streams.ask("bagmati", TOKENS, 20_000);
		BegunStreams.awaitBegun(home);
		home.announcer().leave().join();
		Regions.await(() -> BegunStreams.lastRun(home).sentChunks() >= BREAK_AFTER_CHUNKS - 4);
		CompletableFuture<HttpResponse<String>> busy = this.streams.ask("koshi", LONG_TOKENS, 30_000);
		for (int i = 0; i < QUEUED_REQUESTS; i++) {
			this.streams.ask("koshi", LONG_TOKENS, 60_000);
		}

		BegunStreams.assertWhole(begun, TOKENS);
		assertThat(busy.isDone()).as("the engine is busy").isFalse();
	}

}
