package org.vanillatrestle.bench.internal.experiment;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanillatrestle.Objective;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The experiment's world and its files.
 */
class ExperimentTests {

	private static final long SECOND_NANOS = 1_000_000_000L;

	@ParameterizedTest
	@EnumSource(PolicyKind.class)
	void shouldAccountForEachRequestUnderEachPolicy(PolicyKind policy) {
		Scene scene = scene(3, List.of(new Scene.Fault(FaultKind.CRASHED, "koshi-engine-0", 5, 5, 1),
				new Scene.Fault(FaultKind.LINK_CUT, "koshi>bagmati", 8, 4, 1)));

		RunResult result = new World(deployment(), policy, 1, 0).run(scene, 0);

		assertThat(result.offered()).isPositive();
		assertThat(result.answered() + result.lost()).isEqualTo(result.offered());
	}

	@Test
	void shouldGiveTheSameFiguresForTheSameSeed() {
		Scene scene = scene(3, List.of());

		RunResult first = new World(deployment(), PolicyKind.POLICY, 5, 0).run(scene, 0);
		RunResult second = new World(deployment(), PolicyKind.POLICY, 5, 0).run(scene, 0);

		assertThat(second).isEqualTo(first);
	}

	@Test
	void shouldKeepGoodputAtThreeTimesItsPeakLoad() {
		double peak = 0;
		for (double rate : new double[] { 4, 6, 8 }) {
			peak = Math.max(peak, goodput(rate));
		}

		assertThat(goodput(24)).isGreaterThanOrEqualTo(0.9 * peak);
	}

	@Test
	void shouldSendNothingAwayWhileHomeHasRoom() {
		RunResult result = new World(deployment(), PolicyKind.POLICY, 1, 0).run(scene(1, List.of()), 0);

		assertThat(result.sentAwayPercent()).isZero();
		assertThat(result.lost()).isZero();
	}

	@ParameterizedTest
	@ValueSource(strings = { "dossieria", "himdugdha" })
	void shouldReadTheExampleExperiments(String name) throws Exception {
		Path file = Path.of("..", "examples", "experiments", name + ".json");

		Experiment experiment = ExperimentReader.read(Files.readString(file));

		assertThat(experiment.name()).isEqualTo(name);
		assertThat(experiment.seeds()).hasSizeGreaterThanOrEqualTo(3);
		assertThat(experiment.deployment().regions()).hasSize(3);
	}

	@Test
	void shouldRefuseArgumentsWithoutAFile() {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);

		int exit = new ExperimentCommand(stream, stream).run(new String[0]);

		assertThat(exit).isEqualTo(2);
		assertThat(out.toString(StandardCharsets.UTF_8)).contains("usage");
	}

	private static double goodput(double requestsPerSecond) {
		return new World(deployment(), PolicyKind.POLICY, 1, 10 * SECOND_NANOS)
			.run(scene(requestsPerSecond, List.of()), 10 * SECOND_NANOS)
			.goodputPerSecond();
	}

	private static Scene scene(double requestsPerSecond, List<Scene.Fault> faults) {
		List<Scene.Step> steps = List.of(new Scene.Step(0, requestsPerSecond));
		return new Scene("test", 30,
				List.of(new Scene.RegionLoad("koshi", steps), new Scene.RegionLoad("bagmati", steps)), faults);
	}

	private static Deployment deployment() {
		List<Deployment.TargetPlan> targets = List.of(new Deployment.TargetPlan("engine", false, 2, 8, 1, 10, 100),
				new Deployment.TargetPlan("service", true, 1, 4, 1, 0, 1));
		return new Deployment("himdugdha", Objective.TAIL_LATENCY, 50, 15 * SECOND_NANOS, 35_000_000, 1_000_000,
				3_000_000, 12_500_000, 0, new Deployment.Workload(300, 60, 20, 60, 20),
				List.of(new Deployment.RegionPlan("koshi", 2, targets),
						new Deployment.RegionPlan("bagmati", 2, targets)));
	}

}
