package org.vanillatrestle.internal.gateway;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StartWaitTests {

	private static final long REMAINING_MILLIS = 12_000;

	@Test
	void shouldTellCallersToRetryWhenTheDeclarationIsProbablyKnown() {
		assertThat(StartWait.retryMillis(0)).isBetween(1_000L, 1_500L);
		assertThat(StartWait.retryMillis(600)).isEqualTo(StartWait.retryMillis(0) - 600);
	}

	@Test
	void shouldNotMakeCallersRetryTooOften() {
		assertThat(StartWait.retryMillis(60_000)).isBetween(300L, 500L);
	}

	@Test
	void shouldLetRequestsWaitForTheDeclaration() {
		assertThat(StartWait.forDeclarationMillis(100, REMAINING_MILLIS)).isBetween(800L, 1_100L);
		assertThat(StartWait.forDeclarationMillis(1_000, REMAINING_MILLIS)).isBetween(150L, 250L);
	}

	@Test
	void shouldNotLetRequestsWaitOnceTheVmHasBeenUpForSeconds() {
		assertThat(StartWait.forDeclarationMillis(5_000, REMAINING_MILLIS)).isZero();
		assertThat(StartWait.forTargetsMillis(5_000, REMAINING_MILLIS)).isZero();
	}

	@Test
	void shouldLeaveMostOfTheRemainingTimeToTheRequest() {
		assertThat(StartWait.forDeclarationMillis(0, 1_000)).isEqualTo(250);
		assertThat(StartWait.forTargetsMillis(0, 1_000)).isEqualTo(250);
	}

}
