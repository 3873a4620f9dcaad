package org.vanillatrestle.internal.fleet;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.VmId;

import static org.assertj.core.api.Assertions.assertThat;

class EntryLivenessTrackerTests {

	private static final EntryReport SELF = entry("edge-1");

	private static final EntryReport OTHER = entry("edge-2");

	private final EntryLivenessTracker tracker = new EntryLivenessTracker();

	private static EntryReport entry(String vm) {
		return new EntryReport(new VmId(vm), new RegionId("koshi"), new DataCentreId("koshi-a"), "127.0.0.1:1",
				"127.0.0.1:2", true, List.of());
	}

	private static long millis(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

	private int countWhileOtherIsSilent(long fromMillis, long untilMillis) {
		int count = 0;
		for (long nowMillis = fromMillis; nowMillis <= untilMillis; nowMillis += 250) {
			count = this.tracker.update(List.of(SELF), millis(nowMillis)).size();
		}
		return count;
	}

	@Test
	void shouldBeEmptyBeforeFirstReport() {
		assertThat(this.tracker.update(List.of(), 0)).isEmpty();
	}

	@Test
	void shouldKeepSilentVmForRetentionPeriod() {
		this.tracker.update(List.of(SELF, OTHER), 0);
		assertThat(countWhileOtherIsSilent(250, 6_000)).isEqualTo(2);
		assertThat(countWhileOtherIsSilent(6_250, 6_250)).isEqualTo(1);
	}

	@Test
	void shouldNotExpireVmsBecauseOfOwnPause() {
		this.tracker.update(List.of(SELF, OTHER), 0);
		assertThat(this.tracker.update(List.of(), millis(20_000))).hasSize(2);
		assertThat(countWhileOtherIsSilent(20_250, 25_000)).isEqualTo(2);
		assertThat(countWhileOtherIsSilent(25_250, 26_500)).isEqualTo(1);
	}

}
