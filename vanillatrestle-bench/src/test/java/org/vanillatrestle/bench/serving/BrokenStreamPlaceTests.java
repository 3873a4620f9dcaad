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
import org.vanillatrestle.bench.internal.standin.StandInTarget;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * An engine breaks off a stream, and no untried engine is in its region. The caller loses
 * an answer that could go on at a place that the rules for new requests don't consider.
 */
class BrokenStreamPlaceTests {

	private static final int TOKENS = 60;

	private static final int BREAK_AFTER_CHUNKS = 10;

	private static final Fault BREAK_ONCE = new Fault(FaultMode.CRASH_AFTER, BREAK_AFTER_CHUNKS, 1, 1);

	private static final Fault BREAK_ALWAYS = Fault.of(FaultMode.CRASH_AFTER, BREAK_AFTER_CHUNKS);

	private static final long ENGINE_COMES_AFTER_MILLIS = 1_500;

	private static final long DEADLINE_MILLIS = 20_000;

	private BegunStreams streams;

	private StandInTarget engine;

	@BeforeEach
	void start(@TempDir Path folder) throws Exception {
		this.streams = BegunStreams.start(folder, "bagmati", "koshi");
		this.engine = this.streams.startEngine("e1", "bagmati", 64);
		this.streams.awaitUsed("bagmati", this.engine);
	}

	@AfterEach
	void stop() {
		this.streams.close();
	}

	@Test
	void shouldGoOnAtAnEngineThatComesAfterTheBreak() throws Exception {
		this.engine.fault(BREAK_ONCE);
		CompletableFuture<HttpResponse<String>> answer = this.streams.ask("bagmati", TOKENS, DEADLINE_MILLIS);
		BegunStreams.awaitBegun(this.engine);
		this.engine.announcer().leave().join();
		this.engine.close();
		Thread.sleep(ENGINE_COMES_AFTER_MILLIS);
		StandInTarget other = this.streams.startEngine("e2", "bagmati", 64);
		BegunStreams.assertWhole(answer, TOKENS);
		assertThat(other.runs()).hasSize(1);
	}

	@Test
	void shouldGoOnInAnotherRegionThoughTheEngineThatBrokeTheStreamIsStillThere() throws Exception {
		StandInTarget away = this.streams.startEngine("e2", "koshi", 64);
		this.streams.awaitUsed("koshi", away);
		awaitSummaryAtOtherRegion();
		this.engine.fault(BREAK_ALWAYS);
		BegunStreams.assertWhole(this.streams.ask("bagmati", TOKENS, DEADLINE_MILLIS), TOKENS);
	}

	@Test
	void shouldSendAStreamToItsOnlyEngineOnceAndEndItAtOnceWhileThatEngineIsThere() throws Exception {
		int before = this.engine.runs().size();
		this.engine.fault(BREAK_ALWAYS);
		Object failure = this.streams.ask("bagmati", TOKENS, DEADLINE_MILLIS)
			.handle((answer, thrown) -> thrown)
			.get(DEADLINE_MILLIS / 2, TimeUnit.MILLISECONDS);
		assertThat(failure).as("the stream is not whole").isNotNull();
		assertThat(this.engine.runs()).hasSize(before + 1);
	}

	@Test
	void shouldEndAStreamThatWaitsForAPlaceAtItsDeadline() throws Exception {
		this.engine.fault(BREAK_ONCE);
		CompletableFuture<Throwable> answer = this.streams.ask("bagmati", TOKENS, 3_000)
			.handle((whole, thrown) -> thrown);
		BegunStreams.awaitBegun(this.engine);
		this.engine.announcer().leave().join();
		this.engine.close();
		long startNanos = System.nanoTime();
		assertThat(answer.get(DEADLINE_MILLIS, TimeUnit.MILLISECONDS)).isNotNull();
		assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos)).isBetween(1_500L, 4_000L);
		assertThat(this.streams.regions().get("bagmati", "/metrics", "").body()).contains("cause=\"not-placed\"");
	}

	private static void awaitSummaryAtOtherRegion() throws InterruptedException {
		Thread.sleep(TimeUnit.SECONDS.toMillis(4));
	}

}
