package org.vanillatrestle.internal.gateway;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TargetSpeedTests {

	private final TargetSpeed speed = new TargetSpeed();

	@Test
	void shouldLearnTheReadingSpeedOfATarget() {
		assertThat(this.speed.readingFactor(0)).isEqualTo(1);
		for (int i = 0; i < 100; i++) {
			this.speed.recordPromptRead(0.5, 0);
		}
		assertThat(this.speed.readingFactor(0)).isBetween(0.49, 0.51);
	}

	@Test
	void shouldLimitTheEffectOfAnOutlier() {
		this.speed.recordPromptRead(1_000, 0);
		assertThat(this.speed.readingFactor(0)).isLessThan(1.3);
		this.speed.recordPromptRead(0, 0);
		assertThat(this.speed.readingFactor(0)).isPositive();
	}

	@Test
	void shouldRememberTheLongestPauseForALimitedTime() {
		this.speed.recordPause(900, 0);
		this.speed.recordPause(100, nanos(500));
		assertThat(this.speed.longestPauseMillis(nanos(10_000))).isEqualTo(900);
		assertThat(this.speed.longestPauseMillis(nanos(20_000))).isZero();
		this.speed.recordPause(100, nanos(21_000));
		assertThat(this.speed.longestPauseMillis(nanos(22_000))).isEqualTo(100);
	}

	// guards against a target that once read slowly and gets no prompts any more
	@Test
	void shouldForgetSlowReadingThatNoPromptConfirms() {
		for (int i = 0; i < 100; i++) {
			this.speed.recordPromptRead(0.3, 0);
		}
		assertThat(this.speed.readingFactor(nanos(10_000))).isLessThan(0.4);
		assertThat(this.speed.readingFactor(nanos(20_000))).isEqualTo(1);
	}

	private static long nanos(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

}
