package org.vanillatrestle.daemon.internal.gateway;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ResponseTimingTests {

	private final ResponseTiming timing = new ResponseTiming();

	@Test
	void shouldReportThatNoPartWasSent() {
		assertThat(this.timing.hasFirstPart()).isFalse();
		assertThat(this.timing.firstPartMillis()).isEqualTo(-1);
		assertThat(this.timing.isWithinObjectives(1_000, 800)).isFalse();
	}

	@Test
	void shouldRecordTheLongestPause() {
		for (long atMillis : new long[] { 300, 500, 1_400, 1_500 }) {
			this.timing.recordPart(atMillis);
		}
		assertThat(this.timing.firstPartMillis()).isEqualTo(300);
		assertThat(this.timing.longestPauseMillis()).isEqualTo(900);
	}

	@Test
	void shouldMissTheObjectiveAfterALongPause() {
		this.timing.recordPart(300);
		this.timing.recordPart(1_100);
		assertThat(this.timing.isWithinObjectives(1_000, 800)).isTrue();
		this.timing.recordPart(1_901);
		assertThat(this.timing.isWithinObjectives(1_000, 800)).isFalse();
	}

}
