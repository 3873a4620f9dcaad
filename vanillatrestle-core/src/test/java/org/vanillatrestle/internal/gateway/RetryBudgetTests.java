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

	private static final long WINDOW = TimeUnit.SECONDS.toNanos(10);

	private static final double RATIO = 0.2;

	private static final double ALLOWANCE = 56;

	@Test
	void shouldRefuseRepeatsOnceTheAllowanceIsSpent() {
		RetryBudget budget = new RetryBudget(RATIO, ALLOWANCE, WINDOW);
		int granted = 0;
		while (budget.tryRepeat(SERVICE, 0)) {
			granted++;
		}
		assertThat(granted).isBetween(30, 56);
		assertThat(budget.tryRepeat(SERVICE, WINDOW / 2)).isFalse();
		assertThat(budget.tryRepeat(SERVICE, 2 * WINDOW)).isTrue();
	}

	@Test
	void shouldGoOnSharingWithVmsThatAreOutOfReach() {
		RetryBudget budget = new RetryBudget(RATIO, ALLOWANCE, WINDOW);
		budget.setVmCount(8);
		budget.setVmCount(1);
		int granted = 0;
		while (budget.tryRepeat(SERVICE, 0)) {
			granted++;
		}
		assertThat(granted).isLessThanOrEqualTo(7);
	}

	@Property(tries = 200)
	void shouldStayWithinTheBoundTogether(@ForAll long seed) {
		Random random = new Random(seed);
		int vms = 1 + random.nextInt(12);
		List<RetryBudget> budgets = new ArrayList<>();
		for (int i = 0; i < vms; i++) {
			budgets.add(new RetryBudget(RATIO, ALLOWANCE, WINDOW));
			budgets.get(i).setVmCount(vms);
		}
		List<Long> requests = new ArrayList<>();
		List<Long> repeats = new ArrayList<>();
		long now = 0;
		for (int step = 0; step < 3000; step++) {
			now += random.nextInt(40_000_000);
			RetryBudget budget = budgets.get(random.nextInt(vms));
			if (random.nextInt(5) == 0) {
				budget.request(SERVICE, now);
				requests.add(now);
			}
			if (budget.tryRepeat(SERVICE, now)) {
				repeats.add(now);
			}
			assertThat(inWindow(repeats, now)).isLessThanOrEqualTo(RATIO * inWindow(requests, now) + ALLOWANCE);
		}
	}

	private static double inWindow(List<Long> times, long now) {
		int count = 0;
		for (int i = times.size() - 1; i >= 0 && now - times.get(i) <= WINDOW; i--) {
			count++;
		}
		return count;
	}

}
