package org.vanillatrestle.internal.gateway;

import java.util.HashSet;
import java.util.List;
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
import org.vanillatrestle.internal.fleet.TargetCondition;
import org.vanillatrestle.internal.fleet.TargetReport;
import org.vanillatrestle.internal.target.TargetAddress;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Targets that get no requests for a while, so that none of their answers can tell that
 * they are fast or sound again.
 */
class TargetRecoveryTests {

	private static final DataCentreId DATA_CENTRE = new DataCentreId("koshi-a");

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

	// guards against a target that is refused all requests for good after a slow phase,
	// because only an answer could tell that it is fast again
	@Test
	void shouldTryATargetAgainThatWasTooSlowWithOneRequestAtATime() {
		long nowNanos = answerSlowly(40, 5_000);
		assertThat(waitMillis(nowNanos)).isGreaterThan(4_000);
		long laterNanos = nowNanos + TimeUnit.SECONDS.toNanos(6);
		assertThat(waitMillis(laterNanos)).isLessThan(686);
		RequestShape shape = shape(PLAIN);
		InFlightRequest probe = this.targets.begin(this.targets.choose(shape, Set.of(), laterNanos).orElseThrow(),
				shape, laterNanos);
		assertThat(waitMillis(laterNanos)).as("held while a request finds out").isGreaterThan(4_000);
		long answeredNanos = laterNanos + TimeUnit.MILLISECONDS.toNanos(86);
		probe.answered(answeredNanos);
		assertThat(waitMillis(answeredNanos)).as("open again").isLessThan(686);
	}

	// guards against a slow target that makes its sound neighbours look slow
	@Test
	void shouldNotTakeAnotherTargetOfTheServiceForSlow() {
		long nowNanos = answerSlowly(40, 5_000);
		add("b", PLAIN);
		TargetChoice choice = this.targets.choose(shape(PLAIN), Set.of(), nowNanos).orElseThrow();
		assertThat(choice.target().id()).isEqualTo(new TargetId("b"));
		assertThat(choice.waitMillis()).isLessThan(100);
	}

	// guards against a new target that looks slower than its fast neighbours and so is
	// never tried
	@Test
	void shouldTryANewTargetBesideAFastOne() {
		long nowNanos = answerSlowly(100, 1);
		add("b", PLAIN);
		Set<TargetId> chosen = new HashSet<>();
		for (int i = 0; i < 40; i++) {
			chosen.add(this.targets.choose(shape(PLAIN), Set.of(), nowNanos).orElseThrow().target().id());
		}
		assertThat(chosen).contains(new TargetId("b"));
	}

	private long answerSlowly(int requests, long answerMillis) {
		add("a", PLAIN);
		RequestShape shape = shape(PLAIN);
		long nowNanos = 0;
		for (int i = 0; i < requests; i++) {
			InFlightRequest request = this.targets.begin(this.targets.choose(shape, Set.of(), nowNanos).orElseThrow(),
					shape, nowNanos);
			nowNanos += TimeUnit.MILLISECONDS.toNanos(answerMillis);
			request.answered(nowNanos);
		}
		return nowNanos;
	}

	private long waitMillis(long nowNanos) {
		return this.targets.choose(shape(PLAIN), Set.of(), nowNanos).orElseThrow().waitMillis();
	}

	// guards against VMs without a share of the requests that cold targets tolerate,
	// which
	// never try an ejected target again
	@Test
	void shouldTryAnEjectedTargetAgainWithoutAShareForColdTargets() {
		add("a", MODEL);
		RequestShape shape = shape(MODEL);
		this.targets.begin(this.targets.choose(shape, Set.of(), 0).orElseThrow(), shape, 0).failed(true, 0);
		this.targets.setRegionEntries(new TreeSet<>(Set.of(new VmId("edge-2"))), 0);
		long soonNanos = TimeUnit.SECONDS.toNanos(4);
		assertThat(this.targets.choose(shape, Set.of(), soonNanos)).as("it may have restarted and be cold").isEmpty();
		long laterNanos = TimeUnit.SECONDS.toNanos(12);
		TargetChoice probe = this.targets.choose(shape, Set.of(), laterNanos).orElseThrow();
		this.targets.begin(probe, shape, laterNanos);
		assertThat(this.targets.choose(shape, Set.of(), laterNanos)).as("one request at a time").isEmpty();
	}

	private static RequestShape shape(DeclaredService service) {
		return new RequestShape(service, 0, 0, List.of(), 800, 0.8);
	}

	private void add(String name, DeclaredService service) {
		this.targets.update(new TargetReport(new TargetId(name), 1, 1, service.name(),
				new TargetAddress("127.0.0.1", 80), DATA_CENTRE, 4, TargetCondition.READY, 0), 0);
	}

}
