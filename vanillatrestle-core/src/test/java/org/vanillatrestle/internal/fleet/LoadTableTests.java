package org.vanillatrestle.internal.fleet;

import java.util.List;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.VmId;

import static org.assertj.core.api.Assertions.assertThat;

class LoadTableTests {

	private static final RegionId KOSHI = new RegionId("koshi");

	private static final RegionId LUMBINI = new RegionId("lumbini");

	private static final VmId FIRST = new VmId("edge-1");

	private static final VmId SECOND = new VmId("edge-2");

	private static final VmId THIRD = new VmId("edge-3");

	private final LoadTable table = new LoadTable();

	@Test
	void shouldAddUpLoadsOfOtherVmsInRegion() {
		this.table.update(FIRST, KOSHI, List.of(load("a", 1), load("b", 2)), 0);
		this.table.update(SECOND, KOSHI, List.of(load("a", 4)), 0);
		this.table.update(THIRD, LUMBINI, List.of(load("a", 8)), 0);
		assertThat(this.table.totalOfOthers(FIRST, KOSHI, 1)).containsExactly(load("a", 4));
		assertThat(this.table.totalOfOthers(SECOND, KOSHI, 1)).containsExactly(load("a", 1), load("b", 2));
		assertThat(this.table.totalOfOthers(new VmId("edge-9"), KOSHI, 1)).containsExactly(load("a", 5), load("b", 2));
	}

	@Test
	void shouldReplaceEarlierLoadOfVm() {
		this.table.update(FIRST, KOSHI, List.of(load("a", 1), load("b", 2)), 0);
		this.table.update(FIRST, KOSHI, List.of(load("b", 1)), 1);
		assertThat(this.table.totalOfOthers(SECOND, KOSHI, 2)).containsExactly(load("b", 1));
	}

	@Test
	void shouldDropLoadOfRemovedOrSilentVm() {
		this.table.update(FIRST, KOSHI, List.of(load("a", 1)), 0);
		this.table.update(SECOND, KOSHI, List.of(load("a", 2)), 0);
		this.table.remove(FIRST);
		assertThat(this.table.totalOfOthers(THIRD, KOSHI, 1)).containsExactly(load("a", 2));
		assertThat(this.table.totalOfOthers(THIRD, KOSHI, TimeUnit.SECONDS.toNanos(3))).isEmpty();
	}

	@Test
	void shouldDecayPromptRateSinceReport() {
		long secondReportNanos = TimeUnit.MILLISECONDS.toNanos(300);
		InFlightLoad load = new InFlightLoad(new TargetId("a"), 1, 0, 0, 40_000, 0);
		this.table.update(FIRST, KOSHI, List.of(load), 0);
		this.table.update(SECOND, KOSHI, List.of(load), secondReportNanos);
		assertThat(this.table.totalOfOthers(THIRD, KOSHI, secondReportNanos))
			.containsExactly(load.decayedBy(secondReportNanos).plus(load));
	}

	@Property
	void shouldNeverIncludeOwnLoadOfVm(
			@ForAll @Size(min = 1, max = 8) List<@IntRange(min = 1, max = 50) Integer> loads) {
		LoadTable loadTable = new LoadTable();
		int sum = 0;
		for (int i = 0; i < loads.size(); i++) {
			loadTable.update(new VmId("edge-" + i), KOSHI, List.of(load("a", loads.get(i))), 0);
			sum += loads.get(i);
		}
		for (int i = 0; i < loads.size(); i++) {
			int othersTotal = loadTable.totalOfOthers(new VmId("edge-" + i), KOSHI, 0)
				.stream()
				.mapToInt(InFlightLoad::requests)
				.sum();
			assertThat(othersTotal).isEqualTo(sum - loads.get(i));
		}
	}

	private static InFlightLoad load(String target, int requests) {
		return new InFlightLoad(new TargetId(target), requests, 100L * requests, 1_000L * requests);
	}

}
