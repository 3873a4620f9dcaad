package org.vanillatrestle.daemon.internal.gateway;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CallerRouteTests {

	@Test
	void shouldTellCallersToComeBackWhenTheDeclarationHasProbablyCome() {
		assertThat(CallerRoute.retryMillis(0)).isBetween(1_000L, 1_500L);
		assertThat(CallerRoute.retryMillis(600)).isEqualTo(CallerRoute.retryMillis(0) - 600);
	}

	@Test
	void shouldNotMakeCallersAskAllTheTime() {
		assertThat(CallerRoute.retryMillis(60_000)).isBetween(300L, 500L);
	}

}
