package org.vanillatrestle.internal.gateway;

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
import org.vanillatrestle.internal.fleet.InFlightLoad;
import org.vanillatrestle.internal.fleet.TargetCondition;
import org.vanillatrestle.internal.fleet.TargetReport;
import org.vanillatrestle.internal.target.TargetAddress;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the choice of a target for requests that share parts of their prompts, that have
 * targets in two data centres, or that come from another region.
 */
class SharedPartsTests {

	private static final long NOW_NANOS = TimeUnit.SECONDS.toNanos(60);

	private static final DataCentreId LOCAL_DATA_CENTRE = new DataCentreId("koshi-a");

	private static final DataCentreId OTHER_DATA_CENTRE = new DataCentreId("koshi-b");

	private final GatewayTargets targets = new GatewayTargets(new VmId("edge-1"), LOCAL_DATA_CENTRE,
			new ColdQuota(1.5, 3), RandomSource.SPLIT_MIX_64.create(7));

	@BeforeEach
	void setRegionEntries() {
		this.targets.setRegionEntries(new TreeSet<>(Set.of(new VmId("edge-1"))), 0);
	}

	private static DeclaredService service(double linkMegabitsPerSecond) {
		return new DeclaredService(new ServiceName("model"), "/health", 100, 3_000, 2.1,
				Optional.of(new ModelEngine(64, 400_000, 18_432, linkMegabitsPerSecond)));
	}

	private void add(String name, DataCentreId dataCentre, long coldMillis) {
		this.targets.update(new TargetReport(new TargetId(name), 1, 1, new ServiceName("model"),
				new TargetAddress("127.0.0.1", 80), dataCentre, 64, TargetCondition.READY, coldMillis), 0);
	}

	private RequestShape request(DeclaredService service, String ownPart) {
		return new RequestShape(service, 6_000, 0,
				List.of(new PromptPart("doc", 5_000), new PromptPart(ownPart, 1_000)), 800, 1);
	}

	private TargetChoice choose(RequestShape shape) {
		return this.targets.choose(shape, Set.of(), NOW_NANOS).orElseThrow();
	}

	private TargetChoice chooseWhileTheHolderIsBusy(DeclaredService service) {
		add("a", LOCAL_DATA_CENTRE, 0);
		add("b", LOCAL_DATA_CENTRE, 0);
		TargetChoice first = choose(request(service, "own-1"));
		this.targets.begin(first, request(service, "own-1"), NOW_NANOS).answerStarted(NOW_NANOS + 1);
		this.targets.setOtherLoads(List.of(new InFlightLoad(first.target().id(), 3, 60_000, 60_000)), NOW_NANOS);
		TargetChoice second = choose(request(service, "own-2"));
		assertThat(second.target()).isNotSameAs(first.target());
		return second;
	}

	@Test
	void shouldCopySharedPartsFromABusyTargetThatHasCachedThem() {
		TargetChoice choice = chooseWhileTheHolderIsBusy(service(130_000));
		assertThat(choice.copyFrom()).isPresent();
		assertThat(choice.copyFrom().get()).isNotSameAs(choice.target());
		assertThat(choice.unreadTokens()).isEqualTo(1_000);
	}

	@Test
	void shouldReadSharedPartsAgainWhereCopyingIsNotSupported() {
		assertThat(chooseWhileTheHolderIsBusy(service(0)).copyFrom()).isEmpty();
	}

	@Test
	void shouldNotCopyOverASlowLink() {
		assertThat(chooseWhileTheHolderIsBusy(service(1_000)).copyFrom()).isEmpty();
	}

	@Test
	void shouldPreferTargetsOfItsOwnDataCentreAtEqualLoad() {
		add("a", OTHER_DATA_CENTRE, 0);
		add("b", LOCAL_DATA_CENTRE, 0);
		RequestShape plain = new RequestShape(service(0), 500, 0, List.of(), 800, 1);
		for (int i = 0; i < 20; i++) {
			assertThat(choose(plain).target().id().value()).isEqualTo("b");
		}
		this.targets.setOtherLoads(List.of(new InFlightLoad(new TargetId("b"), 3, 20_000, 20_000)), NOW_NANOS);
		assertThat(choose(plain).target().id().value()).isEqualTo("a");
	}

	@Test
	void shouldOfferNoCapacityOfColdTargetsToOtherRegions() {
		add("a", LOCAL_DATA_CENTRE, 120_000);
		DeclaredService service = service(0);
		assertThat(this.targets.choose(request(service, "own"), Set.of(), NOW_NANOS)).isPresent();
		assertThat(this.targets.chooseForRemote(service, 800, NOW_NANOS)).isEmpty();
		add("b", LOCAL_DATA_CENTRE, 0);
		assertThat(this.targets.chooseForRemote(service, 800, NOW_NANOS).orElseThrow().target().id().value())
			.isEqualTo("b");
	}

}
