package org.vanillatrestle.internal.gateway;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

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
	void addVms() {
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

	private Optional<RemoteEntries.RemoteChoice> choose(long nowMillis) {
		return this.remotes.choose(route(), MODEL, (entry) -> true, TimeUnit.MILLISECONDS.toNanos(nowMillis));
	}

	private String chosenRegion(long nowMillis) {
		return choose(nowMillis).orElseThrow().region().value();
	}

	private RemoteEntries.RemoteRequest sendTo(String vm) {
		return this.remotes.begin(new RemoteEntries.RemoteChoice(new VmId(vm), KOSHI, null, 0, 0));
	}

	private void fail(String vm, boolean unreached, long nowMillis) {
		sendTo(vm).failed(unreached, TimeUnit.MILLISECONDS.toNanos(nowMillis));
	}

	@Test
	void shouldChooseTheRegionWhereTheAnswerBeginsFirst() {
		assertThat(chosenRegion(0)).isEqualTo("koshi");
	}

	@Test
	void shouldChooseAnotherVmOfTheRegionAfterOneWasUnreachable() {
		fail("koshi-1", true, 0);
		for (int i = 0; i < 20; i++) {
			assertThat(choose(100).orElseThrow().vm().value()).isIn("koshi-2", "koshi-3");
		}
	}

	@Test
	void shouldProbeAnUnreachableRegionByOneRequestAtATime() {
		fail("koshi-1", true, 0);
		fail("koshi-2", true, 0);
		RemoteEntries.RemoteChoice probe = choose(10).orElseThrow();
		assertThat(probe.vm().value()).isEqualTo("koshi-3");
		RemoteEntries.RemoteRequest request = this.remotes.begin(probe);
		assertThat(chosenRegion(20)).isEqualTo("lumbini");
		request.failed(true, TimeUnit.MILLISECONDS.toNanos(600));
		assertThat(chosenRegion(610)).isEqualTo("koshi");
	}

	@Test
	void shouldUseARegionAgainOnceOneOfItsVmsAnswers() {
		fail("koshi-1", true, 0);
		fail("koshi-2", true, 0);
		sendTo("koshi-3").answered();
		for (int i = 0; i < 20; i++) {
			assertThat(choose(10).orElseThrow().vm().value()).isEqualTo("koshi-3");
			sendTo("koshi-3");
		}
	}

	@Test
	void shouldKeepProbingAnUnreachableVm() {
		this.remotes.update(List.of(entry("koshi-1", "koshi", 10)));
		long lastProbeMillis = 0;
		for (int nowMillis = 0; nowMillis < 10_000; nowMillis += 10) {
			if (choose(nowMillis).isPresent()) {
				fail("koshi-1", true, nowMillis);
				lastProbeMillis = nowMillis;
			}
		}
		assertThat(lastProbeMillis).isGreaterThan(7_000L);
		assertThat(choose(lastProbeMillis + 2_100)).isPresent();
	}

	@Test
	void shouldNotTreatARegionAsUnreachableWhenItsVmsBreakConnections() {
		fail("koshi-1", false, 0);
		fail("koshi-2", false, 0);
		assertThat(chosenRegion(10)).isEqualTo("koshi");
	}

	@Test
	void shouldAvoidRegionsToWhichOtherRequestsAreBound() {
		this.remotes.update(List.of(entry("koshi-1", "koshi", 100), entry("lumbini-1", "lumbini", 200)));
		this.remotes.setBoundRegions(Map.of(MODEL, Set.of(KOSHI)));
		assertThat(chosenRegion(0)).isEqualTo("lumbini");
		this.remotes.update(List.of(entry("koshi-1", "koshi", 100), entry("lumbini-1", "lumbini", 600)));
		assertThat(chosenRegion(0)).isEqualTo("koshi");
	}

}
