package org.vanillatrestle.internal.gateway;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StartupWaitTests {

	private static final long REMAINING_MILLIS = 12_000;

	@Test
	void shouldTellCallersToRetryWhenTheDeclarationIsProbablyKnown() {
		assertThat(StartupWait.retryMillis(0)).isBetween(1_000L, 1_500L);
		assertThat(StartupWait.retryMillis(600)).isEqualTo(StartupWait.retryMillis(0) - 600);
	}

	@Test
	void shouldNotMakeCallersRetryTooOften() {
		assertThat(StartupWait.retryMillis(60_000)).isBetween(300L, 500L);
	}

	@Test
	void shouldLetRequestsWaitForTheDeclaration() {
		assertThat(StartupWait.forDeclarationMillis(100, REMAINING_MILLIS)).isBetween(800L, 1_100L);
		assertThat(StartupWait.forDeclarationMillis(1_000, REMAINING_MILLIS)).isBetween(150L, 250L);
	}

	@Test
	void shouldNotLetRequestsWaitOnceTheVmHasBeenUpForSeconds() {
		assertThat(StartupWait.forDeclarationMillis(5_000, REMAINING_MILLIS)).isZero();
		assertThat(StartupWait.forTargetsMillis(5_000, REMAINING_MILLIS)).isZero();
	}

	@Test
	void shouldLeaveMostOfTheRemainingTimeToTheRequest() {
		assertThat(StartupWait.forDeclarationMillis(0, 1_000)).isEqualTo(250);
		assertThat(StartupWait.forTargetsMillis(0, 1_000)).isEqualTo(250);
	}

}
