package org.vanillatrestle.internal.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.vanillatrestle.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;

class RetryBudgetTests {

	private static final ServiceName SERVICE = new ServiceName("model");

	private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(10);

	private static final double RATIO = 0.2;

	private static final double ALLOWANCE = 56;

	@Test
	void shouldRefuseRetriesOnceTheAllowanceIsSpent() {
		RetryBudget budget = new RetryBudget(RATIO, ALLOWANCE, WINDOW_NANOS);
		int granted = 0;
		while (budget.tryRetry(SERVICE, 0)) {
			granted++;
		}
		assertThat(granted).isBetween(30, 56);
		assertThat(budget.tryRetry(SERVICE, WINDOW_NANOS / 2)).isFalse();
		assertThat(budget.tryRetry(SERVICE, 2 * WINDOW_NANOS)).isTrue();
	}

	@Test
	void shouldKeepReservingTheAllowanceOfUnreachableVms() {
		RetryBudget budget = new RetryBudget(RATIO, ALLOWANCE, WINDOW_NANOS);
		budget.setVmCount(8);
		budget.setVmCount(1);
		int granted = 0;
		while (budget.tryRetry(SERVICE, 0)) {
			granted++;
		}
		assertThat(granted).isLessThanOrEqualTo(7);
	}

	@Property(tries = 200)
	void shouldStayWithinTheLimitAcrossAllVms(@ForAll long seed) {
		Random random = new Random(seed);
		int vmCount = 1 + random.nextInt(12);
		List<RetryBudget> budgets = new ArrayList<>();
		for (int i = 0; i < vmCount; i++) {
			budgets.add(new RetryBudget(RATIO, ALLOWANCE, WINDOW_NANOS));
			budgets.get(i).setVmCount(vmCount);
		}
		List<Long> requests = new ArrayList<>();
		List<Long> retries = new ArrayList<>();
		long nowNanos = 0;
		for (int step = 0; step < 3000; step++) {
			nowNanos += random.nextInt(40_000_000);
			RetryBudget budget = budgets.get(random.nextInt(vmCount));
			if (random.nextInt(5) == 0) {
				budget.recordRequest(SERVICE, nowNanos);
				requests.add(nowNanos);
			}
			if (budget.tryRetry(SERVICE, nowNanos)) {
				retries.add(nowNanos);
			}
			assertThat(countInWindow(retries, nowNanos))
				.isLessThanOrEqualTo(RATIO * countInWindow(requests, nowNanos) + ALLOWANCE);
		}
	}

	private static double countInWindow(List<Long> timesNanos, long nowNanos) {
		int count = 0;
		for (int i = timesNanos.size() - 1; i >= 0 && nowNanos - timesNanos.get(i) <= WINDOW_NANOS; i--) {
			count++;
		}
		return count;
	}

}
