package org.vanillatrestle.daemon.internal.gateway;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StreamPaceTests {

	private final StreamPace pace = new StreamPace();

	@Test
	void shouldTellThatNoPartWasSent() {
		assertThat(this.pace.isBegun()).isFalse();
		assertThat(this.pace.firstPartMillis()).isEqualTo(-1);
		assertThat(this.pace.isWithin(1_000, 800)).isFalse();
	}

	@Test
	void shouldFindTheLongestPause() {
		for (long at : new long[] { 300, 500, 1_400, 1_500 }) {
			this.pace.part(at);
		}
		assertThat(this.pace.firstPartMillis()).isEqualTo(300);
		assertThat(this.pace.longestPauseMillis()).isEqualTo(900);
	}

	@Test
	void shouldNotCountAStreamWithALongPauseAsFast() {
		this.pace.part(300);
		this.pace.part(1_100);
		assertThat(this.pace.isWithin(1_000, 800)).isTrue();
		this.pace.part(1_901);
		assertThat(this.pace.isWithin(1_000, 800)).isFalse();
	}

}
