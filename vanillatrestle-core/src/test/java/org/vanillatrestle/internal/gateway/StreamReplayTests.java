package org.vanillatrestle.internal.gateway;

import java.util.ArrayList;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against long answers that begin in time and are cut at their deadline. A step in
 * which an engine reads prompts takes many times as long as one in which it does not, so
 * an engine that is sent more prompts than it can read beside its streams ends only short
 * answers, and all that it spent on the long ones is lost.
 */
class StreamReplayTests {

	private static final int SEED_COUNT = 3;

	private static final int ENGINE_COUNT = 3;

	@ParameterizedTest
	@ValueSource(doubles = { 0.8, 1, 1.3, 1.6 })
	void shouldServeTheLargestAtLeastHalfAsOftenAsAll(double loadFactor) throws Exception {
		Map<String, StreamReplay.Outcome> outcomes = replayAll(AnswerLoad.read("long-answers.csv").times(loadFactor),
				UnaryOperator.identity());
		System.out.println("long answers x " + loadFactor + ", worth " + worthShare(outcomes) + ": " + outcomes);
		assertThat(outcomes.values()).allSatisfy((outcome) -> assertThat(outcome.largestServedShare())
			.isGreaterThanOrEqualTo(outcome.servedShare() / 2));
	}

	// Guards against the least urgent requests being refused while targets could take
	// them: without any limit on reading, all answers of this load end before their
	// deadlines.
	@Test
	@Tag("known-red")
	void shouldRefuseNothingInASurgeThatEndangersNoAnswer() throws Exception {
		AnswerLoad load = AnswerLoad.read("short-surge.csv");
		Map<String, StreamReplay.Outcome> unlimited = replayAll(load, StreamReplay::withoutReadingLimits);
		Map<String, StreamReplay.Outcome> limited = replayAll(load, UnaryOperator.identity());
		System.out.println("short surge: " + unlimited + " -> " + limited);
		assertThat(unlimited.values()).allSatisfy((outcome) -> assertThat(outcome.servedShare()).isEqualTo(1));
		assertThat(limited.values()).allSatisfy((outcome) -> assertThat(outcome.refusedCount()).isZero());
	}

	private static double worthShare(Map<String, StreamReplay.Outcome> outcomes) {
		return outcomes.values().stream().mapToDouble(StreamReplay.Outcome::earned).sum()
				/ outcomes.values().stream().mapToDouble(StreamReplay.Outcome::owed).sum();
	}

	private static Map<String, StreamReplay.Outcome> replayAll(AnswerLoad load, UnaryOperator<StreamReplay> setup) {
		Map<String, StreamReplay.Outcome> all = new TreeMap<>();
		for (long seed = 1; seed <= SEED_COUNT; seed++) {
			setup.apply(new StreamReplay(seed, ENGINE_COUNT))
				.run(load)
				.forEach((kind, outcome) -> all
					.computeIfAbsent(kind, (key) -> new StreamReplay.Outcome(new ArrayList<>()))
					.addAll(outcome));
		}
		return all;
	}

}
