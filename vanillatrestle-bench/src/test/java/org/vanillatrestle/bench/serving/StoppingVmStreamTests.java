package org.vanillatrestle.bench.serving;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.vanillatrestle.bench.internal.standin.Fault;
import org.vanillatrestle.bench.internal.standin.FaultMode;
import org.vanillatrestle.bench.internal.standin.Run;
import org.vanillatrestle.bench.internal.standin.StandInTarget;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A VM is stopped while a stream is in progress that it has forwarded, that was forwarded
 * to it, or that has to go on at another engine. A VM that stops refuses new requests
 * only: a stream that is cut by it is lost.
 */
class StoppingVmStreamTests {

	private static final int TOKENS = 100;

	private static final long DEADLINE_MILLIS = 25_000;

	private static final int BREAK_AFTER_CHUNKS = 40;

	/**
	 * The time until every region knows of the engines of the others.
	 */
	private static final long SUMMARY_MILLIS = 4_000;

	private BegunStreams streams;

	@BeforeEach
	void start(@TempDir Path folder) throws Exception {
		this.streams = BegunStreams.start(folder, "bagmati", "koshi", "lumbini");
	}

	@AfterEach
	void stop() {
		this.streams.close();
	}

	@Test
	void shouldEndAForwardedStreamWholeWhenTheVmInFrontIsStopped() throws Exception {
		StandInTarget engine = this.streams.startEngine("e2", "koshi", 64);
		assertWholeAfterStopOf("bagmati", engine);
	}

	@Test
	void shouldEndAForwardedStreamWholeWhenTheVmThatHoldsItIsStopped() throws Exception {
		StandInTarget engine = this.streams.startEngine("e2", "koshi", 64);
		assertWholeAfterStopOf("koshi", engine);
	}

	private void assertWholeAfterStopOf(String stopped, StandInTarget engine) throws Exception {
		this.streams.awaitUsed("bagmati", engine);
		CompletableFuture<HttpResponse<String>> answer = this.streams.ask("bagmati", TOKENS, DEADLINE_MILLIS);
		BegunStreams.awaitBegun(engine);
		int runs = engine.runs().size();
		CompletableFuture<Void> stop = stopLater(stopped);
		BegunStreams.assertWhole(answer, TOKENS);
		stop.get(20, TimeUnit.SECONDS);
		assertThat(engine.runs()).as("the stream is one run").hasSize(runs);
		assertThat(BegunStreams.lastRun(engine).outcome()).isEqualTo(Run.Outcome.COMPLETED);
	}

	@Test
	void shouldContinueABrokenStreamAtAnotherEngineWhileItsVmStops() throws Exception {
		StandInTarget engine = this.streams.startEngine("e1", "bagmati", 64);
		StandInTarget other = this.streams.startEngine("e2", "bagmati", 64);
		this.streams.awaitUsed("bagmati", engine, other);
		engine.fault(new Fault(FaultMode.CRASH_AFTER, BREAK_AFTER_CHUNKS, 1, 1));
		other.fault(new Fault(FaultMode.CRASH_AFTER, BREAK_AFTER_CHUNKS, 1, 1));
		CompletableFuture<HttpResponse<String>> answer = this.streams.ask("bagmati", TOKENS, DEADLINE_MILLIS);
		Regions.await(() -> isRunning(engine) || isRunning(other));
		(isRunning(engine) ? other : engine).fault(Fault.NONE);
		CompletableFuture<Void> stop = stopLater("bagmati");
		BegunStreams.assertWhole(answer, TOKENS);
		stop.get(20, TimeUnit.SECONDS);
	}

	@Test
	void shouldContinueABrokenStreamInAnotherRegionWhileItsVmStops() throws Exception {
		StandInTarget engine = this.streams.startEngine("e1", "bagmati", 64);
		StandInTarget away = this.streams.startEngine("e2", "koshi", 64);
		this.streams.awaitUsed("bagmati", engine);
		this.streams.awaitUsed("koshi", away);
		Thread.sleep(SUMMARY_MILLIS);
		engine.fault(Fault.of(FaultMode.CRASH_AFTER, BREAK_AFTER_CHUNKS));
		CompletableFuture<HttpResponse<String>> answer = this.streams.ask("bagmati", TOKENS, DEADLINE_MILLIS);
		BegunStreams.awaitBegun(engine);
		CompletableFuture<Void> stop = stopLater("bagmati");
		BegunStreams.assertWhole(answer, TOKENS);
		stop.get(20, TimeUnit.SECONDS);
	}

	private CompletableFuture<Void> stopLater(String region) throws InterruptedException {
		CompletableFuture<Void> stop = CompletableFuture.runAsync(() -> this.streams.regions().stop(region));
		Thread.sleep(BegunStreams.STEP_MILLIS);
		return stop;
	}

	private static boolean isRunning(StandInTarget engine) {
		return BegunStreams.lastRun(engine).outcome() == Run.Outcome.RUNNING;
	}

}
