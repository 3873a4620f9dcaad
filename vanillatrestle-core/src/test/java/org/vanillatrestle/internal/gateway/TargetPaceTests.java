package org.vanillatrestle.internal.gateway;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TargetPaceTests {

	private final TargetPace pace = new TargetPace();

	@Test
	void shouldLearnHowFastATargetReads() {
		assertThat(this.pace.readingFactor()).isEqualTo(1);
		for (int i = 0; i < 100; i++) {
			this.pace.promptRead(0.5);
		}
		assertThat(this.pace.readingFactor()).isBetween(0.49, 0.51);
	}

	@Test
	void shouldNotBelieveAWildSample() {
		this.pace.promptRead(1_000);
		assertThat(this.pace.readingFactor()).isLessThan(1.3);
		this.pace.promptRead(0);
		assertThat(this.pace.readingFactor()).isPositive();
	}

	@Test
	void shouldRememberTheLongestPauseForAWhile() {
		this.pace.paused(900, 0);
		this.pace.paused(100, millis(500));
		assertThat(this.pace.longestPauseMillis(millis(10_000))).isEqualTo(900);
		assertThat(this.pace.longestPauseMillis(millis(20_000))).isZero();
		this.pace.paused(100, millis(21_000));
		assertThat(this.pace.longestPauseMillis(millis(22_000))).isEqualTo(100);
	}

	private static long millis(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

}
