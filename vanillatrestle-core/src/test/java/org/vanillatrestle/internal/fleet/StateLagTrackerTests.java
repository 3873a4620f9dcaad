package org.vanillatrestle.internal.fleet;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.vanillatrestle.VmId;

import static org.assertj.core.api.Assertions.assertThat;

class StateLagTrackerTests {

	private static final VmId NEAR = new VmId("core-near");

	private static final VmId FAR = new VmId("core-far");

	private final StateLagTracker tracker = new StateLagTracker();

	@Test
	void shouldNotBeBehindWhileItFollowsEachChangeSoon() {
		for (int i = 1; i <= 20; i++) {
			this.tracker.report(FAR, i, millis(500 * i));
			assertThat(this.tracker.isBehind(millis(500 * i + 200))).isFalse();
			this.tracker.apply(i, millis(500 * i + 200));
		}
		assertThat(this.tracker.lagNanos(millis(20_000))).isZero();
	}

	@Test
	void shouldBeBehindWhenItLacksStateThatOneControlVmReported() {
		this.tracker.apply(3, 0);
		this.tracker.report(NEAR, 3, millis(100));
		for (int i = 4; i <= 20; i++) {
			this.tracker.report(FAR, i, millis(500 * (i - 3)));
		}
		assertThat(this.tracker.isBehind(millis(2_001))).isTrue();
		assertThat(this.tracker.lagNanos(millis(9_000))).isEqualTo(millis(8_500));
		assertThat(this.tracker.newestIndex()).isEqualTo(20);
		assertThat(this.tracker.indexOf(NEAR)).isEqualTo(3);
	}

	@Test
	void shouldForgetControlVmWithoutLink() {
		this.tracker.report(NEAR, 3, 0);
		this.tracker.remove(NEAR);
		assertThat(this.tracker.indexOf(NEAR)).isZero();
	}

	private static long millis(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

}
