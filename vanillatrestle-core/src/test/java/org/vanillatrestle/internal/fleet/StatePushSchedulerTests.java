package org.vanillatrestle.internal.fleet;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanillatrestle.VmId;

import static org.assertj.core.api.Assertions.assertThat;

class StatePushSchedulerTests {

	private static final VmId ENTRY = new VmId("edge-1");

	private final StatePushScheduler scheduler = new StatePushScheduler();

	@Test
	void shouldSendImmediatelyOnlyFromNearestControlVm() {
		this.scheduler.stateChanged(5, 0);
		assertThat(this.scheduler.isDue(ENTRY, 0, 4, 0)).isTrue();
		assertThat(this.scheduler.isDue(new VmId("edge-2"), 1, 4, millis(500))).isFalse();
		assertThat(this.scheduler.isDue(new VmId("edge-3"), 5, 4, millis(1_500))).isFalse();
	}

	@Test
	void shouldNotSendToUpToDateVm() {
		this.scheduler.stateChanged(5, 0);
		assertThat(this.scheduler.isDue(ENTRY, 0, 5, millis(9_000))).isFalse();
	}

	@Test
	void shouldTakeOverFromNearerControlVmsBeforeChangeMustTakeEffect() {
		this.scheduler.stateChanged(5, 0);
		assertThat(this.scheduler.isDue(new VmId("edge-2"), 1, 4, millis(1_000))).isTrue();
		assertThat(this.scheduler.isDue(new VmId("edge-3"), 5, 4, millis(3_000))).isTrue();
	}

	@Test
	void shouldNotResendWhileCopyMayBeInTransit() {
		this.scheduler.stateChanged(5, 0);
		this.scheduler.isDue(ENTRY, 0, 4, 0);
		assertThat(this.scheduler.isDue(ENTRY, 0, 4, millis(1_500))).isFalse();
		assertThat(this.scheduler.isDue(ENTRY, 0, 4, millis(2_000))).isTrue();
	}

	@Test
	void shouldSendNewerStateImmediately() {
		this.scheduler.stateChanged(5, 0);
		this.scheduler.isDue(ENTRY, 0, 4, 0);
		this.scheduler.stateChanged(6, millis(100));
		assertThat(this.scheduler.isDue(ENTRY, 0, 4, millis(100))).isTrue();
	}

	@Test
	void shouldSendAgainAfterLinkWasReplaced() {
		this.scheduler.stateChanged(5, 0);
		this.scheduler.isDue(ENTRY, 0, 0, 0);
		this.scheduler.remove(ENTRY);
		assertThat(this.scheduler.isDue(ENTRY, 0, 0, millis(100))).isTrue();
	}

	// Each change used to start the wait of the other control VMs again.
	@ParameterizedTest
	@ValueSource(longs = { 50, 250, 500, 999 })
	void shouldTakeOverFromLaggingControlVmDuringChangesInSeries(long gapMillis) {
		long firstIndex = 5;
		boolean due = false;
		for (long i = 0; i * gapMillis <= 1_000 && !due; i++) {
			this.scheduler.stateChanged(firstIndex + i, millis(i * gapMillis));
			due = this.scheduler.isDue(ENTRY, 1, firstIndex - 1, millis((i + 1) * gapMillis));
		}
		assertThat(due).isTrue();
	}

	// An entry VM that starts meanwhile serves nothing until it has a state.
	@ParameterizedTest
	@ValueSource(longs = { 50, 150, 399 })
	void shouldSendFirstStateFromSecondControlVmDuringChangesInSeries(long gapMillis) {
		boolean due = false;
		for (long i = 0; i * gapMillis <= 400 && !due; i++) {
			this.scheduler.stateChanged(5 + i, millis(i * gapMillis));
			due = this.scheduler.isDue(ENTRY, 1, 0, millis((i + 1) * gapMillis));
		}
		assertThat(due).isTrue();
	}

	private static long millis(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

	@Test
	void shouldSendFirstStateSoonWhenNearestControlVmHasNoState() {
		StatePushScheduler second = new StatePushScheduler();
		second.stateChanged(7, 0);
		VmId entry = new VmId("edge-9");
		assertThat(second.isDue(entry, 1, 0, TimeUnit.MILLISECONDS.toNanos(300)))
			.as("the nearest control VM sends first")
			.isFalse();
		assertThat(second.isDue(entry, 1, 0, TimeUnit.MILLISECONDS.toNanos(500))).isTrue();
		assertThat(second.isDue(new VmId("edge-10"), 1, 3, TimeUnit.MILLISECONDS.toNanos(500)))
			.as("an entry VM with an older state can serve requests")
			.isFalse();
	}

}
