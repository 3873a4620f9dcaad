package org.vanillatrestle.internal.gateway;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.vanillatrestle.internal.declaration.DeclaredRoute;
import org.vanillatrestle.internal.declaration.RouteKind;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A stream of a sound target that is silent for a second or two is not tried elsewhere,
 * and one whose callers are about to leave is.
 */
class StreamPatienceTests {

	@Test
	void shouldAbandonNoStreamBeforeTheLongestOfTheCallersLimits() {
		assertThat(patience(400, 100).callerMillis()).isEqualTo(2_000);
		assertThat(patience(1_200, 100).callerMillis()).isEqualTo(4_800);
		assertThat(patience(1_200, 800).callerMillis()).isEqualTo(6_400);
	}

	@Test
	void shouldTryAnotherTargetAfterAnUnusualSilence() {
		assertThat(patience(400, 100).stallMillis()).isEqualTo(1_200);
		assertThat(patience(800, 100).stallMillis()).isEqualTo(1_600);
		assertThat(patience(1_200, 800).stallMillis()).isEqualTo(2_000);
	}

	@Test
	void shouldLeaveAStreamAloneThatIsSlowAsItsRouteAllows() {
		assertThat(patience(1_200, 2_000).stallMillis()).isEqualTo(3_000);
	}

	private static StreamPatience patience(long objectiveMillis, long pauseObjectiveMillis) {
		return StreamPatience.of(new DeclaredRoute("route", "a.example", "/", RouteKind.STREAMING, true, 60_000,
				objectiveMillis, pauseObjectiveMillis, 0, 2, Set.of(), List.of()));
	}

}
