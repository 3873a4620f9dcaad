package org.vanillatrestle.bench.serving;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanillatrestle.bench.internal.standin.StandInTarget;

/**
 * The only engine of a region breaks off a stream and is gone, and so is the engine of
 * one of two other regions. The region that gets the rest refuses it, and the caller's
 * stream then waits in vain until its deadline, though the third region has free places.
 */
class RefusedRestTests {

	private static final List<String> OTHERS = List.of("koshi", "lumbini");

	private static final int SLOTS = 64;

	private static final int TOKENS = 60;

	private static final long DEADLINE_MILLIS = 8_000;

	private BegunStreams streams;

	@AfterEach
	void stop() {
		this.streams.close();
	}

	// either region may get the rest first
	@ParameterizedTest
	@ValueSource(ints = { 0, 1 })
	void shouldOfferTheRestOfAStreamThatOneRegionRefusedToAnotherOne(int gone, @TempDir Path folder) throws Exception {
		this.streams = BegunStreams.start(folder, "bagmati", OTHERS.get(0), OTHERS.get(1));
		StandInTarget engine = this.streams.startEngine("e1", "bagmati", SLOTS);
		this.streams.awaitUsed("bagmati", engine);
		List<StandInTarget> others = new ArrayList<>();
		for (String region : OTHERS) {
			StandInTarget other = this.streams.startEngine("e-" + region, region, SLOTS);
			this.streams.awaitUsed(region, other);
			others.add(other);
		}
		awaitSummaryAtOtherRegions();
		CompletableFuture<HttpResponse<String>> answer = this.streams.ask("bagmati", TOKENS, DEADLINE_MILLIS);
		BegunStreams.awaitBegun(engine);
		for (StandInTarget leaving : List.of(others.get(gone), engine)) {
			leaving.announcer().leave();
			leaving.close();
		}
		BegunStreams.assertWhole(answer, TOKENS);
	}

	private static void awaitSummaryAtOtherRegions() throws InterruptedException {
		Thread.sleep(TimeUnit.SECONDS.toMillis(4));
	}

}
