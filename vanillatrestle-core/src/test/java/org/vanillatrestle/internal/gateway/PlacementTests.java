package org.vanillatrestle.internal.gateway;

import java.util.stream.Stream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PlacementTests {

	private static final long OBJECTIVE_MILLIS = 1_200;

	private static final long REMAINING_MILLIS = 12_000;

	private static final Placement.Estimate NONE = Placement.Estimate.NONE;

	@Test
	void shouldServeLocallyWhileTheWaitIsShort() {
		assertThat(decide(estimate(300, 0.3), estimate(210, 0.1))).isEqualTo(Placement.Action.SERVE_LOCALLY);
	}

	@Test
	void shouldForwardWhereTheAnswerBeginsMuchSooner() {
		assertThat(decide(estimate(900, 0.5), estimate(300, 0.1))).isEqualTo(Placement.Action.FORWARD);
		assertThat(decide(estimate(900, 0.5), estimate(800, 0.1))).isEqualTo(Placement.Action.SERVE_LOCALLY);
		assertThat(decide(NONE, estimate(300, 0.1))).isEqualTo(Placement.Action.FORWARD);
	}

	@Test
	void shouldForwardFromTargetsThatReadTooMuchToOnesThatReadMuchLess() {
		assertThat(decide(estimate(200, 0.9), estimate(300, 0.5))).isEqualTo(Placement.Action.FORWARD);
		assertThat(decide(estimate(200, 0.9), estimate(300, 0.7))).isEqualTo(Placement.Action.REFUSE);
		assertThat(decide(estimate(200, 0.9), NONE)).isEqualTo(Placement.Action.REFUSE);
	}

	@Test
	void shouldRefuseRequestsThatWouldBeAnsweredTooLate() {
		assertThat(decide(estimate(1_900, 0.5), NONE)).isEqualTo(Placement.Action.REFUSE);
		assertThat(Placement.decide(estimate(500, 0.5), NONE, 0.8, OBJECTIVE_MILLIS, 100, 400).action())
			.isEqualTo(Placement.Action.REFUSE);
	}

	@Test
	void shouldLetLongPromptsWaitBehindOthersToo() {
		assertThat(Placement.decide(estimate(1_500, 0), NONE, 0.8, OBJECTIVE_MILLIS, 100, REMAINING_MILLIS).action())
			.isEqualTo(Placement.Action.REFUSE);
		assertThat(Placement.decide(estimate(1_500, 0), NONE, 0.8, OBJECTIVE_MILLIS, 1_000, REMAINING_MILLIS).action())
			.isEqualTo(Placement.Action.SERVE_LOCALLY);
		assertThat(Placement.decide(estimate(1_700, 0), NONE, 0.8, OBJECTIVE_MILLIS, 1_000, REMAINING_MILLIS).action())
			.isEqualTo(Placement.Action.REFUSE);
	}

	@Test
	void shouldQueueRequestsWhereNoTargetHasCapacity() {
		assertThat(decide(NONE, NONE)).isEqualTo(Placement.Action.QUEUE);
	}

	@Test
	void shouldContinueABegunAnswerWhereANewRequestIsRefused() {
		assertThat(decide(estimate(200, 0.9), NONE)).isEqualTo(Placement.Action.REFUSE);
		assertThat(decideForBegunAnswer(estimate(200, 0.9), NONE)).isEqualTo(Placement.Action.SERVE_LOCALLY);
		assertThat(decide(estimate(1_900, 0.5), NONE)).isEqualTo(Placement.Action.REFUSE);
		assertThat(decideForBegunAnswer(estimate(1_900, 0.5), NONE)).isEqualTo(Placement.Action.SERVE_LOCALLY);
		assertThat(decideForBegunAnswer(NONE, estimate(1_900, 0.9))).isEqualTo(Placement.Action.FORWARD);
		assertThat(decideForBegunAnswer(estimate(1_900, 0.9), estimate(400, 0.9))).isEqualTo(Placement.Action.FORWARD);
	}

	@Property
	void shouldRefuseNoBegunAnswer(@ForAll @LongRange(min = 0, max = 5_000) long localMillis,
			@ForAll @DoubleRange(min = 0, max = 2) double localShare,
			@ForAll @LongRange(min = 0, max = 5_000) long remoteMillis,
			@ForAll @DoubleRange(min = 0, max = 2) double remoteShare) {
		assertThat(Stream.of(decideForBegunAnswer(estimate(localMillis, localShare), NONE),
				decideForBegunAnswer(NONE, estimate(remoteMillis, remoteShare)),
				decideForBegunAnswer(estimate(localMillis, localShare), estimate(remoteMillis, remoteShare))))
			.containsOnly(Placement.Action.SERVE_LOCALLY, Placement.Action.FORWARD);
		assertThat(decideForBegunAnswer(NONE, NONE)).isEqualTo(Placement.Action.QUEUE);
	}

	@Property
	void shouldNeverSendToATargetThatReadsTooMuch(@ForAll @LongRange(min = 0, max = 5_000) long localMillis,
			@ForAll @DoubleRange(min = 0, max = 2) double localShare,
			@ForAll @LongRange(min = 0, max = 5_000) long remoteMillis,
			@ForAll @DoubleRange(min = 0, max = 2) double remoteShare) {
		Placement.Action action = decide(estimate(localMillis, localShare), estimate(remoteMillis, remoteShare));
		assertThat(action == Placement.Action.SERVE_LOCALLY && localShare > 0.8).isFalse();
		assertThat(action == Placement.Action.FORWARD && remoteShare > 0.8).isFalse();
	}

	private static Placement.Action decide(Placement.Estimate local, Placement.Estimate remote) {
		return Placement.decide(local, remote, 0.8, OBJECTIVE_MILLIS, 100, REMAINING_MILLIS).action();
	}

	private static Placement.Action decideForBegunAnswer(Placement.Estimate local, Placement.Estimate remote) {
		return Placement.decideForBegunAnswer(local, remote, 0.8, OBJECTIVE_MILLIS, 100, REMAINING_MILLIS).action();
	}

	private static Placement.Estimate estimate(long waitMillis, double readingShare) {
		return new Placement.Estimate(waitMillis, readingShare);
	}

}
