package org.vanillatrestle.internal.gateway;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.declaration.DeclaredService;
import org.vanillatrestle.internal.declaration.ModelEngine;
import org.vanillatrestle.internal.fleet.InFlightLoad;
import org.vanillatrestle.internal.fleet.TargetCondition;
import org.vanillatrestle.internal.fleet.TargetReport;
import org.vanillatrestle.internal.target.TargetAddress;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class GatewayTargetsTests {

	private static final DataCentreId DATA_CENTRE = new DataCentreId("koshi-a");

	private static final long LATER_NANOS = TimeUnit.SECONDS.toNanos(60);

	private static final DeclaredService MODEL = new DeclaredService(new ServiceName("model"), "/health", 100, 3_000,
			2.1, Optional.of(new ModelEngine(4, 100_000, 0, 0)));

	private static final DeclaredService PLAIN = new DeclaredService(new ServiceName("plain"), "/health", 100, 0, 0,
			Optional.empty());

	private final GatewayTargets targets = new GatewayTargets(new VmId("edge-1"), DATA_CENTRE, new ColdQuota(1.5, 3),
			RandomSource.SPLIT_MIX_64.create(7));

	@BeforeEach
	void setRegionEntries() {
		this.targets.setRegionEntries(new TreeSet<>(Set.of(new VmId("edge-1"))), 0);
	}

	@Test
	void shouldSendNothingToDrainingGoneOrEvacuatedTargets() {
		add("a", MODEL, TargetCondition.DRAINING, 0);
		add("b", MODEL, TargetCondition.GONE, 0);
		assertThat(choose(MODEL, 100)).isEmpty();
		add("c", MODEL, TargetCondition.READY, 0);
		assertThat(choose(MODEL, 100)).isPresent();
		this.targets.setEvacuated(Set.of(DATA_CENTRE), Map.of(), 0);
		assertThat(choose(MODEL, 100)).isEmpty();
	}

	@Test
	void shouldSendNothingToATargetThatAskedForAPause() {
		add("a", PLAIN, TargetCondition.READY, 0);
		add("b", PLAIN, TargetCondition.READY, 0);
		assertThat(this.targets.reopensInMillis(PLAIN, 0)).isEmpty();
		TargetChoice paused = choose(PLAIN, 0).orElseThrow();
		this.targets.begin(paused, shape(PLAIN, 0), 0).pauseRequested(2_000, 0);
		long soonNanos = TimeUnit.MILLISECONDS.toNanos(1_900);
		for (int i = 0; i < 20; i++) {
			assertThat(this.targets.choose(shape(PLAIN, 0), Set.of(), soonNanos).orElseThrow().target().id())
				.isNotEqualTo(paused.target().id());
		}
		assertThat(this.targets.reopensInMillis(PLAIN, soonNanos)).isEmpty();
		TargetChoice other = this.targets.choose(shape(PLAIN, 0), Set.of(), soonNanos).orElseThrow();
		this.targets.begin(other, shape(PLAIN, 0), soonNanos).pauseRequested(5_000, soonNanos);
		assertThat(this.targets.choose(shape(PLAIN, 0), Set.of(), soonNanos)).isEmpty();
		assertThat(this.targets.reopensInMillis(PLAIN, soonNanos)).hasValue(100);
		assertThat(this.targets.choose(shape(PLAIN, 0), Set.of(), TimeUnit.MILLISECONDS.toNanos(2_001))).isPresent();
	}

	@Test
	void shouldIgnoreThePauseOfAFormerIncarnation() {
		add("a", PLAIN, TargetCondition.READY, 0);
		this.targets.begin(choose(PLAIN, 0).orElseThrow(), shape(PLAIN, 0), 0).pauseRequested(600_000, 0);
		assertThat(choose(PLAIN, 0)).isEmpty();
		this.targets.update(report("a", PLAIN, TargetCondition.READY, 0, 2), 0);
		assertThat(choose(PLAIN, 0)).isPresent();
	}

	@Test
	void shouldSendNothingToATargetOfAnotherService() {
		add("a", PLAIN, TargetCondition.READY, 0);
		assertThat(choose(MODEL, 100)).isEmpty();
	}

	@Test
	void shouldPreferTheTargetThatHasReadThePrompt() {
		add("a", MODEL, TargetCondition.READY, 0);
		add("b", MODEL, TargetCondition.READY, 0);
		RequestShape first = shape(MODEL, 9_000, "shared", "own-1");
		TargetChoice choice = this.targets.choose(first, Set.of(), 0).orElseThrow();
		this.targets.begin(choice, first, 0).answered(1);
		for (int i = 0; i < 20; i++) {
			TargetChoice next = this.targets.choose(shape(MODEL, 9_000, "shared", "own-" + i), Set.of(), 1)
				.orElseThrow();
			assertThat(next.target().id()).isEqualTo(choice.target().id());
		}
	}

	@Test
	void shouldSendSharedPartsToTheSameTargetFromAllVms() {
		GatewayTargets otherVm = new GatewayTargets(new VmId("edge-2"), DATA_CENTRE, new ColdQuota(1.5, 3),
				RandomSource.SPLIT_MIX_64.create(8));
		for (String name : List.of("a", "b", "c", "d")) {
			add(name, MODEL, TargetCondition.READY, 0);
			otherVm.update(report(name, MODEL, TargetCondition.READY, 0, 1), 0);
		}
		Set<TargetId> used = new HashSet<>();
		for (int i = 0; i < 40; i++) {
			RequestShape shape = shape(MODEL, 9_000, "shared-" + i, "own");
			TargetId chosen = this.targets.choose(shape, Set.of(), LATER_NANOS).orElseThrow().target().id();
			assertThat(otherVm.choose(shape, Set.of(), LATER_NANOS).orElseThrow().target().id()).isEqualTo(chosen);
			used.add(chosen);
		}
		assertThat(used).hasSize(4);
	}

	@Test
	void shouldForgetThePrefixesOfARestartedTarget() {
		add("a", MODEL, TargetCondition.READY, 0);
		RequestShape shape = shape(MODEL, 9_000, "shared", "own");
		this.targets.begin(choose(shape).orElseThrow(), shape, 0).answered(1);
		assertThat(choose(shape).orElseThrow().unreadTokens()).isZero();
		this.targets.update(report("a", MODEL, TargetCondition.READY, 0, 2), 0);
		assertThat(choose(shape).orElseThrow().unreadTokens()).isEqualTo(9_000);
	}

	@Test
	void shouldEstimateReadingOfUnsharedPartsInAnotherRegion() {
		long shortPrompt = this.targets.readMillis(shape(MODEL, 200, "shared", "own"), 0);
		long longPrompt = this.targets.readMillis(shape(MODEL, 80_000, "shared", "own"), 0);
		assertThat(longPrompt).isGreaterThan(shortPrompt + 500);
		assertThat(this.targets.readMillis(shape(PLAIN, 0), 0)).isZero();
	}

	@Test
	void shouldAvoidASlowReaderForLongPrompts() {
		add("a", MODEL, TargetCondition.READY, 0);
		add("b", MODEL, TargetCondition.READY, 0);
		InFlightLoad slow = new InFlightLoad(new TargetId("a"), 3, 0, 0, 0, 870);
		InFlightLoad fast = new InFlightLoad(new TargetId("b"), 3, 4_000, 0, 0, 650);
		this.targets.setOtherLoads(List.of(slow, fast), 1);
		assertThat(choose(MODEL, 1_000).orElseThrow().target().id().value()).isEqualTo("a");
		assertThat(choose(MODEL, 40_000).orElseThrow().target().id().value()).isEqualTo("b");
	}

	@Test
	void shouldMeasureTheLongestPauseOfItsOwnStreams() {
		add("a", MODEL, TargetCondition.READY, 0);
		RequestShape shape = shape(MODEL, 400, "p");
		InFlightRequest request = this.targets.begin(choose(shape).orElseThrow(), shape, 0);
		request.answerStarted(1);
		request.recordStreamPause(870, 2);
		assertThat(request.target().own(3).longestPauseMillis()).isEqualTo(870);
	}

	@Test
	void shouldNotMeasureTheReadingSpeedByAPromptThatOvertookOthers() {
		add("a", MODEL, TargetCondition.READY, 0);
		RequestShape shape = shape(MODEL, 4_000, "p");
		this.targets.setOtherLoads(List.of(new InFlightLoad(new TargetId("a"), 2, 60_000, 0)), 0);
		long before = this.targets.readMillis(shape(MODEL, 40_000, "q"), 0);
		for (int i = 0; i < 20; i++) {
			InFlightRequest request = this.targets.begin(choose(shape).orElseThrow(), shape, 0);
			request.answerStarted(TimeUnit.MILLISECONDS.toNanos(100));
			request.answered(TimeUnit.MILLISECONDS.toNanos(200));
		}
		assertThat(this.targets.readMillis(shape(MODEL, 40_000, "q"), 0)).isEqualTo(before);
	}

	@Test
	void shouldAvoidATargetThatReadsAllTheTimeAndReportTheShareIfAllDo() {
		add("a", MODEL, TargetCondition.READY, 0);
		add("b", MODEL, TargetCondition.READY, 0);
		RequestShape shape = shape(MODEL, 400, "p");
		InFlightLoad reading = new InFlightLoad(new TargetId("a"), 1, 0, 0, 36_000, 790);
		this.targets.setOtherLoads(List.of(reading), 1);
		TargetChoice idle = this.targets.choose(shape, Set.of(), 1).orElseThrow();
		assertThat(idle.target().id().value()).isEqualTo("b");
		assertThat(idle.readingShare()).isLessThan(0.1);
		this.targets.setOtherLoads(List.of(reading, new InFlightLoad(new TargetId("b"), 1, 0, 0, 38_000, 790)), 1);
		assertThat(this.targets.choose(shape, Set.of(), 1).orElseThrow().harmfulReadingShare()).isBetween(0.8, 1.0);
	}

	@Test
	void shouldUseATargetThatReadsAllTheTimeIfItsStreamsAreNotDelayed() {
		add("a", MODEL, TargetCondition.READY, 0);
		add("b", MODEL, TargetCondition.READY, 0);
		RequestShape shape = shape(MODEL, 400, "p");
		InFlightLoad reading = new InFlightLoad(new TargetId("a"), 1, 0, 0, 60_000, 300);
		InFlightLoad queued = new InFlightLoad(new TargetId("b"), 1, 20_000, 0, 0, 0);
		this.targets.setOtherLoads(List.of(reading, queued), 1);
		TargetChoice choice = this.targets.choose(shape, Set.of(), 1).orElseThrow();
		assertThat(choice.target().id().value()).isEqualTo("a");
		assertThat(choice.readingShare()).isGreaterThan(1);
		assertThat(choice.harmfulReadingShare()).isZero();
	}

	// Guards against streams that begin in time and are cut at their deadline: their
	// pauses stay below the objective while each event waits for prompts to be read.
	@Test
	void shouldCountReadingAsHarmfulWhereLongAnswersCannotEndInTime() {
		add("a", MODEL, TargetCondition.READY, 0);
		assertThat(harmfulReadingShareAtPace(100)).isZero();
		assertThat(harmfulReadingShareAtPace(650)).isGreaterThan(0.4);
	}

	// Guards against targets that are refused for the pace of streams that ended since.
	@Test
	void shouldForgetThePaceOfStreamsThatEndedLongAgo() {
		add("a", MODEL, TargetCondition.READY, 0);
		assertThat(harmfulReadingShareAtPace(650)).isGreaterThan(0.4);
		RequestShape next = new RequestShape(MODEL, 30_000, 300, List.of(), 800, 0.8, 10_000);
		this.targets.begin(choose(next).orElseThrow(), next, LATER_NANOS);
		assertThat(this.targets.choose(next, Set.of(), LATER_NANOS).orElseThrow().harmfulReadingShare()).isZero();
	}

	// lets answers of 300 tokens come in events of 8 tokens, beside a long prompt
	private double harmfulReadingShareAtPace(long eventMillis) {
		RequestShape shape = new RequestShape(MODEL, 30_000, 300, List.of(), 800, 0.8, 10_000);
		InFlightRequest request = this.targets.begin(choose(shape).orElseThrow(), shape, 0);
		// the reading speed that is assumed before any measurement
		request.answerStarted(TimeUnit.MILLISECONDS.toNanos(780));
		for (int i = 0; i < 37; i++) {
			request.recordStreamPause(eventMillis, 2);
		}
		request.answered(2);
		return choose(shape).orElseThrow().harmfulReadingShare();
	}

	@Test
	void shouldDecayTheTokenRateOfOtherVmsBetweenReports() {
		add("a", MODEL, TargetCondition.READY, 0);
		RequestShape shape = shape(MODEL, 400, "p");
		this.targets.setOtherLoads(List.of(new InFlightLoad(new TargetId("a"), 1, 0, 0, 36_000, 0)), 1);
		double initialShare = this.targets.choose(shape, Set.of(), 1).orElseThrow().readingShare();
		double decayedShare = this.targets.choose(shape, Set.of(), 1 + InFlightLoad.PROMPT_RATE_DECAY_NANOS)
			.orElseThrow()
			.readingShare();
		assertThat(decayedShare / initialShare).isCloseTo(1 / Math.E, within(0.01));
	}

	@Test
	void shouldCountTheTokensItSentRecently() {
		add("a", MODEL, TargetCondition.READY, 0);
		RequestShape shape = shape(MODEL, 30_000, "p");
		this.targets.begin(choose(shape).orElseThrow(), shape, 0).answered(1);
		RequestShape next = shape(MODEL, 400, "q");
		assertThat(this.targets.choose(next, Set.of(), 2).orElseThrow().readingShare()).isBetween(0.4, 0.6);
		assertThat(this.targets.choose(next, Set.of(), LATER_NANOS).orElseThrow().readingShare()).isLessThan(0.01);
	}

	@Test
	void shouldExpectASlowTargetToTakeLongerToRead() {
		add("a", MODEL, TargetCondition.READY, 0);
		add("b", MODEL, TargetCondition.READY, 0);
		GatewayTarget slow = this.targets.all().iterator().next();
		for (int i = 0; i < 20; i++) {
			slow.speed().recordPromptRead(0.5, 0);
		}
		for (int i = 0; i < 20; i++) {
			assertThat(choose(MODEL, 4_000).orElseThrow().target()).isNotSameAs(slow);
		}
	}

	@Test
	void shouldCountRequestsInFlightFromOtherVms() {
		add("a", MODEL, TargetCondition.READY, 0);
		this.targets.setOtherLoads(List.of(new InFlightLoad(new TargetId("a"), 4, 0, 0)), 1);
		assertThat(choose(MODEL, 100)).isEmpty();
		this.targets.setOtherLoads(List.of(), 1);
		assertThat(choose(MODEL, 100)).isPresent();
	}

	@Test
	void shouldNotExceedTheCacheMemoryOfAnEngine() {
		add("a", MODEL, TargetCondition.READY, 0);
		this.targets.setOtherLoads(List.of(new InFlightLoad(new TargetId("a"), 1, 0, 85_000)), 1);
		assertThat(choose(MODEL, 20_000)).isEmpty();
		assertThat(choose(MODEL, 1_000)).isPresent();
	}

	@Test
	void shouldLimitRequestsToAColdTarget() {
		add("a", MODEL, TargetCondition.READY, 3_000);
		assertThat(sendUntilRefused(50)).isBetween(1, 6);
	}

	@Test
	void shouldSendNothingToAColdTargetBeforeItKnowsTheEntryVms() {
		this.targets.setRegionEntries(new TreeSet<>(), 0);
		add("a", MODEL, TargetCondition.READY, 3_000);
		assertThat(choose(MODEL, 100)).isEmpty();
	}

	@Test
	void shouldTreatTargetsAsColdAfterAnEvacuationEnds() {
		add("a", MODEL, TargetCondition.READY, 0);
		this.targets.setEvacuated(Set.of(DATA_CENTRE), Map.of(), 0);
		this.targets.setEvacuated(Set.of(), Map.of(MODEL.name(), 3_000L), 0);
		assertThat(sendUntilRefused(50)).isLessThanOrEqualTo(6);
	}

	// the report may have been made before the target became cold
	@Test
	void shouldTreatTargetsAsColdAfterAnEvacuationThoughAReportSaysWarm() {
		add("a", MODEL, TargetCondition.READY, 500);
		this.targets.setEvacuated(Set.of(DATA_CENTRE), Map.of(), 0);
		this.targets.setEvacuated(Set.of(), Map.of(MODEL.name(), 3_000L), 0);
		add("a", MODEL, TargetCondition.READY, 0);
		assertThat(sendUntilRefused(50)).isLessThanOrEqualTo(6);
	}

	private int sendUntilRefused(int maxRequests) {
		int sent = 0;
		RequestShape shape = shape(MODEL, 10, "p");
		for (Optional<TargetChoice> choice = choose(shape); choice.isPresent()
				&& sent < maxRequests; choice = choose(shape)) {
			this.targets.begin(choice.get(), shape, 0).answered(1);
			sent++;
		}
		return sent;
	}

	@Test
	void shouldEjectAnUnreachableTargetAndProbeItLater() {
		add("a", PLAIN, TargetCondition.READY, 0);
		RequestShape shape = shape(PLAIN, 0);
		this.targets.begin(choose(shape).orElseThrow(), shape, 0).failed(true, 0);
		assertThat(choose(shape)).isEmpty();
		long laterNanos = TimeUnit.SECONDS.toNanos(2);
		TargetChoice probe = this.targets.choose(shape, Set.of(), laterNanos).orElseThrow();
		InFlightRequest request = this.targets.begin(probe, shape, laterNanos);
		assertThat(this.targets.choose(shape, Set.of(), laterNanos)).as("one request at a time").isEmpty();
		request.answered(laterNanos);
		assertThat(this.targets.choose(shape, Set.of(), laterNanos)).isPresent();
	}

	@Test
	void shouldNotEjectForErrorAnswersAlone() {
		add("a", PLAIN, TargetCondition.READY, 0);
		RequestShape shape = shape(PLAIN, 0);
		for (int i = 0; i < 100; i++) {
			this.targets.begin(choose(shape).orElseThrow(), shape, i).answeredWithError(i);
		}
		assertThat(choose(shape)).isPresent();
	}

	@Test
	void shouldEndTheLoadOfARequestOnce() {
		add("a", MODEL, TargetCondition.READY, 0);
		RequestShape shape = shape(MODEL, 500, "p");
		InFlightRequest request = this.targets.begin(choose(shape).orElseThrow(), shape, 0);
		request.answerStarted(1);
		InFlightRequest other = this.targets.begin(choose(shape).orElseThrow(), shape, 1);
		request.answered(2);
		request.end();
		request.failed(false, 3);
		assertThat(other.target().own().requests()).isEqualTo(1);
	}

	private Optional<TargetChoice> choose(DeclaredService service, int tokens) {
		return choose(shape(service, tokens, "part"));
	}

	private Optional<TargetChoice> choose(RequestShape shape) {
		return this.targets.choose(shape, Set.of(), 0);
	}

	private static RequestShape shape(DeclaredService service, int tokens, String... parts) {
		List<PromptPart> prompt = new ArrayList<>();
		for (String part : parts) {
			prompt.add(new PromptPart(part, tokens / parts.length));
		}
		return new RequestShape(service, tokens, 0, prompt, 800, 0.8);
	}

	private void add(String name, DeclaredService service, TargetCondition condition, long coldMillis) {
		this.targets.update(report(name, service, condition, coldMillis, 1), 0);
	}

	private static TargetReport report(String name, DeclaredService service, TargetCondition condition, long coldMillis,
			long born) {
		return new TargetReport(new TargetId(name), born, 1, service.name(), new TargetAddress("127.0.0.1", 80),
				DATA_CENTRE, 4, condition, coldMillis);
	}

}
