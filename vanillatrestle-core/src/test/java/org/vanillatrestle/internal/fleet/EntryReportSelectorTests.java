package org.vanillatrestle.internal.fleet;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.VmId;

import static org.assertj.core.api.Assertions.assertThat;

class EntryReportSelectorTests {

	private final EntryReportSelector selector = new EntryReportSelector(3);

	@Test
	void shouldSelectOnlyChangedReportsBetweenFullSets() {
		EntryReport first = report("edge-1", true, 25);
		EntryReport second = report("edge-2", true, 25);
		assertThat(this.selector.selectNext(List.of(first, second))).containsExactly(first, second);
		assertThat(this.selector.selectNext(List.of(first, second))).isEmpty();
		EntryReport leaving = report("edge-2", false, 25);
		assertThat(this.selector.selectNext(List.of(first, leaving))).containsExactly(leaving);
		assertThat(this.selector.selectNext(List.of(first, leaving))).containsExactly(first, leaving);
	}

	@Test
	void shouldSelectNewOrReturningVmImmediately() {
		EntryReport first = report("edge-1", true, 25);
		EntryReport second = report("edge-2", true, 25);
		this.selector.selectNext(List.of(first));
		assertThat(this.selector.selectNext(List.of(first, second))).containsExactly(second);
		this.selector.selectNext(List.of(first));
		this.selector.selectNext(List.of(first));
		assertThat(this.selector.selectNext(List.of(first, second))).containsExactly(second);
	}

	private static EntryReport report(String vm, boolean ready, long waitMillis) {
		return new EntryReport(new VmId(vm), new RegionId("koshi"), new DataCentreId("koshi-a"), "10.0.0.1:80",
				"10.0.0.1:81", ready, List.of(new ServiceWait(new ServiceName("model"), waitMillis, 0)));
	}

}
