package org.vanillatrestle.bench.matrix;

import java.util.List;

import org.vanillatrestle.bench.internal.load.AnswerKind;
import org.vanillatrestle.bench.internal.load.CallOutcome;
import org.vanillatrestle.bench.internal.load.RequestKind;
import org.vanillatrestle.bench.internal.standin.Run;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks the promises that one VM can break by what the caller saw and by what the
 * targets ran.
 */
final class Oracle {

	private static final int MAX_ATTEMPTS = 3;

	private Oracle() {
	}

	/**
	 * Checks one request.
	 * @param kind the kind of request
	 * @param outcome what the caller saw
	 * @param runsByTarget what each target ran, for this request alone
	 */
	static void check(RequestKind kind, CallOutcome outcome, List<List<Run>> runsByTarget) {
		long runs = runsByTarget.stream().mapToLong(List::size).sum();
		assertThat(outcome.kind()).as("an answer that looks whole is whole").isNotEqualTo(AnswerKind.FALSE_WHOLE);
		assertThat(runsByTarget).as("no target is tried twice").allMatch((list) -> list.size() <= 1);
		assertThat(runs).as("attempts are bounded").isLessThanOrEqualTo(MAX_ATTEMPTS);
		if (kind == RequestKind.PAYOUT) {
			assertThat(runs).as("a payout runs at most once").isLessThanOrEqualTo(1);
		}
		if (outcome.verdict().equals("NOT_RUN")) {
			assertThat(runs).as("'not run' is true").isZero();
		}
		if (outcome.kind() == AnswerKind.WHOLE && !outcome.replayed()) {
			assertThat(runs).as("a whole answer comes from a run").isPositive();
		}
		if (!outcome.requestId().isEmpty()) {
			assertThat(runsByTarget).allSatisfy((list) -> assertThat(list).as("targets get the request's id")
				.allMatch((run) -> run.requestId().equals(outcome.requestId())));
		}
	}

}
