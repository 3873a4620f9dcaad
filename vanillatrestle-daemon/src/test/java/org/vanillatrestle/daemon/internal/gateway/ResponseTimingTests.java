package org.vanillatrestle.daemon.internal.gateway;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ResponseTimingTests {

	private final ResponseTiming pace = new ResponseTiming();

	@Test
	void shouldReportThatNoPartWasSent() {
		assertThat(this.pace.hasFirstPart()).isFalse();
		assertThat(this.pace.firstPartMillis()).isEqualTo(-1);
		assertThat(this.pace.isWithinObjectives(1_000, 800)).isFalse();
	}

	@Test
	void shouldRecordTheLongestPause() {
		for (long at : new long[] { 300, 500, 1_400, 1_500 }) {
			this.pace.recordPart(at);
		}
		assertThat(this.pace.firstPartMillis()).isEqualTo(300);
		assertThat(this.pace.longestPauseMillis()).isEqualTo(900);
	}

	@Test
	void shouldMissTheObjectiveAfterALongPause() {
		this.pace.recordPart(300);
		this.pace.recordPart(1_100);
		assertThat(this.pace.isWithinObjectives(1_000, 800)).isTrue();
		this.pace.recordPart(1_901);
		assertThat(this.pace.isWithinObjectives(1_000, 800)).isFalse();
	}

}
