package org.vanillatrestle.internal.gateway;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class ReadingRateTests {

	private final ReadingRate rate = new ReadingRate();

	@Test
	void shouldConvergeToTheRateOfASteadyLoad() {
		long now = 0;
		for (int i = 0; i < 200; i++) {
			now += TimeUnit.MILLISECONDS.toNanos(50);
			this.rate.recordSent(1_000, now);
		}
		assertThat(this.rate.tokensPerSecond(now)).isCloseTo(20_000, within(1_000.0));
	}

	@Test
	void shouldForgetTokensThatWereSentLongAgo() {
		this.rate.recordSent(50_000, 0);
		assertThat(this.rate.tokensPerSecond(0)).isGreaterThan(30_000);
		assertThat(this.rate.tokensPerSecond(TimeUnit.SECONDS.toNanos(10))).isLessThan(100);
	}

}
