package org.vanillatrestle.daemon.internal.gateway;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.Verdict;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A route that allows two runs: the current attempt of a stream ran at one target, a
 * replacement that was withdrawn at another one, and then the current attempt failed.
 * Guards against a run at a third target.
 */
class AttemptHistoryTests {

	private static final int MAX_RUNS = 2;

	private static final TargetId CURRENT = new TargetId("current");

	private static final TargetId WITHDRAWN = new TargetId("withdrawn");

	private final AttemptHistory attempts = new AttemptHistory(MAX_RUNS);

	@BeforeEach
	void failAfterAWithdrawnReplacement() {
		this.attempts.recordSend(CURRENT);
		this.attempts.recordSend(WITHDRAWN);
		this.attempts.recordWithdrawal(Verdict.MAY_HAVE_RUN, Optional.of(WITHDRAWN));
		this.attempts.recordFailure(AttemptFailure.failed("reset"), Optional.of(CURRENT), true);
		this.attempts.recordSend(WITHDRAWN);
	}

	@Test
	void shouldRunAtNoThirdTargetWhenTheWithdrawnOneRejectsTheRest() {
		this.attempts.recordFailure(AttemptFailure.rejected("full"), Optional.of(WITHDRAWN), true);
		assertThat(this.attempts.mayRunElsewhere(0)).isFalse();
		assertThat(this.attempts.finallyExcludedTargets(List.of(), System.nanoTime())).containsExactly(CURRENT);
		assertThat(this.attempts.excludedTargets(List.of(), 0, System.nanoTime())).contains(WITHDRAWN);
		assertThat(this.attempts.hasAttemptsLeft()).isTrue();
	}

	@Test
	void shouldRunTheRestElsewhereWhenTheWithdrawnTargetHasEnded() {
		this.attempts.recordFailure(AttemptFailure.unreachable("refused"), Optional.of(WITHDRAWN), true);
		assertThat(this.attempts.mayRunElsewhere(0)).isTrue();
		assertThat(this.attempts.hasAttemptsLeft()).isTrue();
	}

	@Test
	void shouldCountTheWithdrawnTargetOnceWhenItRunsTheRest() {
		this.attempts.recordFailure(AttemptFailure.failed("reset"), Optional.of(WITHDRAWN), true);
		assertThat(this.attempts.possibleRuns()).isEqualTo(MAX_RUNS);
		assertThat(this.attempts.hasAttemptsLeft()).isFalse();
	}

}
