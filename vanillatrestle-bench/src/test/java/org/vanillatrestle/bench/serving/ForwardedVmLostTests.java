package org.vanillatrestle.bench.serving;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.vanillatrestle.bench.internal.standin.Run;
import org.vanillatrestle.bench.internal.standin.StandInTarget;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The VM that holds a forwarded stream stops before the stream has ended, so that the
 * link to it is lost. A request is forwarded once only, so that the rest of the answer
 * finds no place in a third region.
 */
class ForwardedVmLostTests {

	private static final int TOKENS = 100;

	private static final long DEADLINE_MILLIS = 25_000;

	private static final long GRACE_MILLIS = 200;

	private static final String[] REGIONS = { "bagmati", "koshi", "lumbini" };

	private BegunStreams streams;

	@BeforeEach
	void start(@TempDir Path folder) throws Exception {
		this.streams = new BegunStreams(new Regions(folder, GRACE_MILLIS, REGIONS), REGIONS);
	}

	@AfterEach
	void stop() {
		this.streams.close();
	}

	@Test
	void shouldContinueAStreamInAThirdRegionWhenTheVmThatHoldsItIsLost() throws Exception {
		StandInTarget second = this.streams.startEngine("e2", "koshi", 64);
		StandInTarget third = this.streams.startEngine("e3", "lumbini", 64);
		this.streams.awaitUsed("bagmati", second, third);
		CompletableFuture<HttpResponse<String>> answer = this.streams.ask("bagmati", TOKENS, DEADLINE_MILLIS);
		Regions.await(() -> isRunning(second) || isRunning(third));
		boolean atSecond = isRunning(second);
		BegunStreams.awaitBegun(atSecond ? second : third);
		this.streams.regions().stop(atSecond ? "koshi" : "lumbini");
		assertThat(answer.isDone()).as("the stream is in progress").isFalse();
		BegunStreams.assertWhole(answer, TOKENS);
		assertThat(BegunStreams.lastRun(atSecond ? third : second).outcome()).isEqualTo(Run.Outcome.COMPLETED);
	}

	@Test
	void shouldContinueAStreamInItsOwnRegionWhenTheVmThatHoldsItIsLost() throws Exception {
		StandInTarget second = this.streams.startEngine("e2", "koshi", 64);
		this.streams.awaitUsed("bagmati", second);
		CompletableFuture<HttpResponse<String>> answer = this.streams.ask("bagmati", TOKENS, DEADLINE_MILLIS);
		BegunStreams.awaitBegun(second);
		StandInTarget own = this.streams.startEngine("e1", "bagmati", 64);
		Thread.sleep(TimeUnit.SECONDS.toMillis(1));
		this.streams.regions().stop("koshi");
		BegunStreams.assertWhole(answer, TOKENS);
		assertThat(BegunStreams.lastRun(own).outcome()).isEqualTo(Run.Outcome.COMPLETED);
	}

	private static boolean isRunning(StandInTarget engine) {
		return BegunStreams.lastRun(engine).outcome() == Run.Outcome.RUNNING;
	}

}
