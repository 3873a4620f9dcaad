package org.vanillatrestle.internal.gateway;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates a restart after a power failure: requests arrive at a VM that has started but
 * does not know the declaration yet, and each caller may retry once. Compares letting
 * them wait with telling all of them to retry.
 */
class StartupReplayTests {

	private static final long LISTENING_MILLIS = 50;

	private static final long DECLARED_MILLIS = 800;

	private static final int CALLER_COUNT = 200;

	private static final long[] OBJECTIVES_MILLIS = { 500, 1_200, 1_500 };

	private static final long[] DEADLINES_MILLIS = { 5_000, 12_000, 3_000 };

	private static final long ROUND_TRIP_MILLIS = 6;

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3 })
	void shouldServeMoreInTimeThanByTellingAllCallersToRetry(long seed) {
		UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
		int[] inTimeWithRetry = new int[OBJECTIVES_MILLIS.length];
		int[] inTimeWithWait = new int[OBJECTIVES_MILLIS.length];
		int retriedCount = 0;
		for (int i = 0; i < CALLER_COUNT; i++) {
			int kind = random.nextInt(OBJECTIVES_MILLIS.length);
			long upMillis = LISTENING_MILLIS + random.nextInt((int) (DECLARED_MILLIS - LISTENING_MILLIS));
			long remainingMillis = DEADLINES_MILLIS[kind];
			long retryMillis = Math.min(StartupWait.retryMillis(upMillis), remainingMillis / 3) + ROUND_TRIP_MILLIS;
			long waitMillis = StartupWait.forDeclarationMillis(upMillis, remainingMillis);
			inTimeWithRetry[kind] += (upMillis + retryMillis >= DECLARED_MILLIS
					&& retryMillis <= OBJECTIVES_MILLIS[kind]) ? 1 : 0;
			boolean served = upMillis + waitMillis >= DECLARED_MILLIS;
			retriedCount += served ? 0 : 1;
			inTimeWithWait[kind] += (served && DECLARED_MILLIS - upMillis <= OBJECTIVES_MILLIS[kind]) ? 1 : 0;
		}
		assertThat(inTimeWithWait[0]).as("plain calls").isGreaterThan(2 * inTimeWithRetry[0]);
		assertThat(inTimeWithWait[1]).as("drafts").isGreaterThanOrEqualTo(inTimeWithRetry[1]);
		assertThat(inTimeWithWait[2]).as("hints").isGreaterThanOrEqualTo(inTimeWithRetry[2]);
		assertThat(retriedCount).as("callers that use up their retry, as all of them did before")
			.isLessThan(CALLER_COUNT / 10);
	}

}
