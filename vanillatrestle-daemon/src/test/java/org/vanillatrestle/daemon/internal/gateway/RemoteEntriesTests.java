package org.vanillatrestle.daemon.internal.gateway;

import java.util.List;
import java.util.Set;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.declaration.DeclaredRoute;
import org.vanillatrestle.internal.declaration.RouteKind;
import org.vanillatrestle.internal.declaration.ServiceShare;
import org.vanillatrestle.internal.fleet.EntryReport;
import org.vanillatrestle.internal.fleet.ServiceWait;

import static org.assertj.core.api.Assertions.assertThat;

class RemoteEntriesTests {

	private static final RegionId KOSHI = new RegionId("koshi");

	private static final ServiceName MODEL = new ServiceName("model");

	private final RemoteEntries remotes = new RemoteEntries(new RegionId("bagmati"),
			RandomSource.SPLIT_MIX_64.create(1L));

	@BeforeEach
	void tellOfVms() {
		this.remotes.update(List.of(entry("koshi-1", "koshi", 10), entry("koshi-2", "koshi", 10),
				entry("koshi-3", "koshi", 10), entry("lumbini-1", "lumbini", 900)));
	}

	private static EntryReport entry(String vm, String region, long waitMillis) {
		return new EntryReport(new VmId(vm), new RegionId(region), new DataCentreId(region + "-a"), "127.0.0.1:1",
				"127.0.0.1:2", true, List.of(new ServiceWait(MODEL, waitMillis, 0)));
	}

	private static DeclaredRoute route() {
		return new DeclaredRoute("route", "a.example", "/", RouteKind.IDEMPOTENT, false, 1000, 400, 800, 0, 2, Set.of(),
				List.of(new ServiceShare(MODEL, 1)));
	}

	private String chosenRegion() {
		return this.remotes.choose(route(), MODEL, Set.of()).orElseThrow().region().value();
	}

	@Test
	void shouldChooseTheRegionThatBeginsSoonest() {
		assertThat(chosenRegion()).isEqualTo("koshi");
	}

	@Test
	void shouldChooseAnotherVmOfTheRegionAfterOneCouldNotBeReached() {
		this.remotes.failed(new VmId("koshi-1"), KOSHI, true);
		for (int i = 0; i < 20; i++) {
			assertThat(this.remotes.choose(route(), MODEL, Set.of()).orElseThrow().vm().value()).isIn("koshi-2",
					"koshi-3");
		}
	}

	@Test
	void shouldLeaveOutARegionOnceTwoOfItsVmsCouldNotBeReached() {
		this.remotes.failed(new VmId("koshi-1"), KOSHI, true);
		this.remotes.failed(new VmId("koshi-2"), KOSHI, true);
		assertThat(chosenRegion()).isEqualTo("lumbini");
	}

	@Test
	void shouldNotTakeARegionForUnreachableBecauseItsVmsBrokeOff() {
		this.remotes.failed(new VmId("koshi-1"), KOSHI, false);
		this.remotes.failed(new VmId("koshi-2"), KOSHI, false);
		assertThat(chosenRegion()).isEqualTo("koshi");
	}

}
