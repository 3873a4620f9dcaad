package org.vanillatrestle.daemon.internal.gateway;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.vanillatrestle.TargetId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Attempts that don't reach a target.
 */
class UnreachedAttemptTests {

	private static final int TARGETS = 4;

	/**
	 * Guards against a new request that spends all of its time on connections that are
	 * not established, though its caller could go elsewhere.
	 */
	@ParameterizedTest
	@CsvSource({ "0,false,true", "150,false,false", "150,true,true" })
	void shouldCountOnlyLongWaitsOfNewRequestsForAConnection(long connectMillis, boolean begun, boolean attemptsLeft)
			throws InterruptedException {
		AttemptHistory attempts = new AttemptHistory(2);
		for (int i = 0; i < TARGETS; i++) {
			TargetId target = new TargetId("i-" + i);
			attempts.recordSend(target);
			TimeUnit.MILLISECONDS.sleep(connectMillis);
			attempts.recordFailure(AttemptFailure.unreachable("no connection"), Optional.of(target), begun);
		}
		assertThat(attempts.hasAttemptsLeft()).isEqualTo(attemptsLeft);
	}

}
