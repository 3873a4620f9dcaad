package org.vanillatrestle.bench.matrix;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;

import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.vanillatrestle.bench.internal.load.AnswerKind;
import org.vanillatrestle.bench.internal.load.CallOutcome;
import org.vanillatrestle.bench.internal.load.RequestKind;
import org.vanillatrestle.bench.internal.standin.Fault;
import org.vanillatrestle.bench.internal.standin.FaultMode;
import org.vanillatrestle.bench.internal.standin.Run;
import org.vanillatrestle.bench.internal.standin.StandInTarget;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Every fault of a target at every step of a request, checked by the {@link Oracle}.
 */
class FaultMatrixTests {

	private static final int REQUESTS = 4;

	private static final Map<MatrixFault, FaultMode> MODES = new EnumMap<>(
			Map.of(MatrixFault.TARGET_REFUSES, FaultMode.REFUSE, MatrixFault.TARGET_STALLS, FaultMode.STALL,
					MatrixFault.TARGET_DIES, FaultMode.CRASH_AFTER, MatrixFault.TARGET_ANSWERS_GARBAGE,
					FaultMode.GARBAGE, MatrixFault.TARGET_ANSWERS_SHORT, FaultMode.SHORT));

	static List<MatrixCase> targetCases() {
		List<MatrixCase> cases = new ArrayList<>();
		for (RequestKind kind : RequestKind.values()) {
			for (boolean everyTarget : new boolean[] { false, true }) {
				cases.add(new MatrixCase(Step.DISPATCH, MatrixFault.TARGET_REFUSES, kind, 0, everyTarget));
				cases.add(new MatrixCase(Step.DISPATCH, MatrixFault.TARGET_IS_GONE, kind, 0, everyTarget));
				for (MatrixFault fault : List.of(MatrixFault.TARGET_STALLS, MatrixFault.TARGET_DIES,
						MatrixFault.TARGET_ANSWERS_GARBAGE, MatrixFault.TARGET_ANSWERS_SHORT)) {
					for (int after : chunks(kind)) {
						Step step = (after == MatrixVm.TOKENS) ? Step.ANSWER_END : Step.ANSWER_FRAME;
						cases.add(new MatrixCase(step, fault, kind, after, everyTarget));
					}
				}
			}
		}
		return cases;
	}

	private static int[] chunks(RequestKind kind) {
		return (kind == RequestKind.STREAM) ? new int[] { 0, 1, 2, 3, MatrixVm.TOKENS } : new int[] { 0, 1 };
	}

	@ParameterizedTest
	@MethodSource("targetCases")
	void shouldKeepThePromisesWhenATargetFails(MatrixCase matrixCase, @TempDir Path folder) throws Exception {
		try (MatrixVm vm = new MatrixVm(folder)) {
			List<StandInTarget> targets = vm.targets(matrixCase.kind());
			strike(matrixCase, targets.get(0));
			if (matrixCase.everyTarget()) {
				strike(matrixCase, targets.get(1));
			}
			boolean stalls = matrixCase.fault() == MatrixFault.TARGET_STALLS;
			Map<String, String> headers = stalls ? Map.of("Vanillatrestle-Deadline-Millis", "300") : Map.of();
			for (int i = 0; i < (stalls ? 1 : REQUESTS); i++) {
				List<List<Run>> before = vm.runsByTarget(matrixCase.kind());
				CallOutcome outcome = vm.send(matrixCase.kind(), UUID.randomUUID().toString(), headers);
				Oracle.check(matrixCase.kind(), outcome, since(before, vm.runsByTarget(matrixCase.kind())));
				checkEffort(matrixCase, outcome);
			}
		}
	}

	private static List<List<Run>> since(List<List<Run>> before, List<List<Run>> after) {
		List<List<Run>> news = new ArrayList<>();
		for (int i = 0; i < after.size(); i++) {
			news.add(after.get(i).subList(before.get(i).size(), after.get(i).size()));
		}
		return news;
	}

	private static void strike(MatrixCase matrixCase, StandInTarget target) {
		if (matrixCase.fault() == MatrixFault.TARGET_IS_GONE) {
			target.close();
			return;
		}
		target.fault(Fault.of(MODES.get(matrixCase.fault()), matrixCase.afterChunks()));
	}

	private static void checkEffort(MatrixCase matrixCase, CallOutcome outcome) {
		boolean repeatable = matrixCase.kind() != RequestKind.PAYOUT;
		if (repeatable && !matrixCase.everyTarget() && matrixCase.fault() != MatrixFault.TARGET_STALLS) {
			assertThat(outcome.kind()).as("the other target answers").isEqualTo(AnswerKind.WHOLE);
		}
		if (matrixCase.everyTarget() && !secondTargetCanFinish(matrixCase)) {
			assertThat(outcome.kind()).as("no target can answer").isNotEqualTo(AnswerKind.WHOLE);
		}
	}

	private static boolean secondTargetCanFinish(MatrixCase matrixCase) {
		return matrixCase.kind() == RequestKind.STREAM && matrixCase.fault() != MatrixFault.TARGET_STALLS
				&& 2 * matrixCase.afterChunks() > MatrixVm.TOKENS;
	}

}
