package org.vanillatrestle.internal.gateway;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.VmId;

import static org.assertj.core.api.Assertions.assertThat;

class RetryBudgetTests {

	private static final ServiceName SERVICE = new ServiceName("model");

	private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(10);

	private static final double RATIO = 0.2;

	private static final double ALLOWANCE = 56;

	@Test
	void shouldRefuseRetriesOnceTheAllowanceIsSpent() {
		RetryBudget budget = knownBudget(0, 1);
		assertThat(spend(budget, 0)).isBetween(30, 56);
		assertThat(budget.tryRetry(SERVICE, RetryBudget.Purpose.OTHER, WINDOW_NANOS / 2)).isFalse();
		assertThat(budget.tryRetry(SERVICE, RetryBudget.Purpose.OTHER, 2 * WINDOW_NANOS)).isTrue();
	}

	@Test
	void shouldKeepReservingTheAllowanceOfUnreachableVms() {
		RetryBudget budget = knownBudget(0, 8);
		budget.setMembers(vms(1), 0);
		assertThat(spend(budget, 0)).isLessThanOrEqualTo(7);
	}

	@Test
	void shouldGrantNoAllowanceUntilTheVmHasBeenKnownForAWindow() {
		RetryBudget budget = new RetryBudget(new VmId("vm-0"), RATIO, ALLOWANCE, WINDOW_NANOS, 1, false);
		assertThat(spend(budget, 0)).isZero();
		budget.setMembers(new TreeSet<>(List.of(new VmId("vm-1"))), 0);
		budget.setMembers(vms(1), WINDOW_NANOS);
		assertThat(spend(budget, 2 * WINDOW_NANOS)).isZero();
		assertThat(spend(budget, 3 * WINDOW_NANOS)).isBetween(30, 56);
	}

	@Test
	void shouldGrantTheAllowanceAtOnceWhenTheDeploymentIsFounded() {
		RetryBudget budget = new RetryBudget(new VmId("vm-0"), RATIO, ALLOWANCE, WINDOW_NANOS, 1, true);
		assertThat(spend(budget, 0)).isZero();
		budget.setMembers(vms(4), 0);
		assertThat(spend(budget, 0)).isBetween(7, 14);
	}

	@Test
	void shouldKeepAShareForAnswersThatHaveBegun() {
		RetryBudget budget = knownBudget(0, 1);
		int whole = spend(knownBudget(0, 1), 0);
		for (int i = 0; i < whole; i++) {
			budget.answerBegan(SERVICE, 0);
		}
		int others = spend(budget, 0);
		assertThat(others).isBetween(whole * 2 / 3, whole - 1);
		assertThat(others + spend(budget, RetryBudget.Purpose.BEGUN_ANSWER, 0)).isEqualTo(whole);
	}

	@Test
	void shouldKeepNoMoreThanTheBegunAnswersInProgressMayNeed() {
		RetryBudget budget = knownBudget(0, 1);
		int whole = spend(knownBudget(0, 1), 0);
		budget.answerBegan(SERVICE, 0);
		budget.answerBegan(SERVICE, 0);
		assertThat(spend(budget, 0)).isEqualTo(whole - 2);
		budget.begunAnswerEnded(SERVICE, 0);
		budget.begunAnswerEnded(SERVICE, 0);
		assertThat(spend(budget, 0)).isEqualTo(2);
	}

	@Test
	void shouldKeepTheShareBeyondTheWindowInWhichTheAnswerBegan() {
		RetryBudget budget = knownBudget(0, 1);
		budget.answerBegan(SERVICE, 0);
		spend(budget, 5 * WINDOW_NANOS);
		assertThat(spend(budget, RetryBudget.Purpose.BEGUN_ANSWER, 5 * WINDOW_NANOS)).isEqualTo(1);
	}

	/**
	 * Guards against retries that are granted for one window and arrive in a later one
	 * beside its own: answers break off all the time, and a place comes after 8 s.
	 */
	@Test
	void shouldKeepTheBoundWhenGrantedRetriesHaveWaitedForAPlace() {
		RetryBudget budget = knownBudget(0, 1);
		long secondNanos = WINDOW_NANOS / 10;
		int requestsPerSecond = 100;
		List<Long> waitingSinceNanos = new ArrayList<>();
		int arrived = 0;
		for (int second = 0; second < 38; second++) {
			long nowNanos = second * secondNanos;
			recordRequests(budget, requestsPerSecond, nowNanos);
			if (second == 28) {
				arrived += renew(budget, waitingSinceNanos, nowNanos);
			}
			int granted = (second < 20) ? 0 : spend(budget, RetryBudget.Purpose.BEGUN_ANSWER, nowNanos);
			if (second < 28) {
				waitingSinceNanos.addAll(Collections.nCopies(granted, nowNanos));
			}
			else {
				arrived += granted;
			}
		}
		assertThat((double) arrived).isBetween(RATIO * 5 * requestsPerSecond,
				RATIO * 10 * requestsPerSecond + ALLOWANCE);
	}

	private static int renew(RetryBudget budget, List<Long> grantedNanos, long nowNanos) {
		return (int) grantedNanos.stream()
			.filter((granted) -> budget.tryRenew(SERVICE, RetryBudget.Purpose.BEGUN_ANSWER, granted, nowNanos)
				.isPresent())
			.count();
	}

	@Test
	void shouldKeepTheGrantOfARetryThatIsSentSoon() {
		RetryBudget budget = knownBudget(0, 1);
		int granted = spend(budget, 0);
		assertThat(budget.tryRenew(SERVICE, RetryBudget.Purpose.OTHER, 0, WINDOW_NANOS / 10)).hasValue(0);
		assertThat(budget.state(SERVICE, RetryBudget.Purpose.OTHER, WINDOW_NANOS / 10).retries()).isEqualTo(granted);
	}

	private static void recordRequests(RetryBudget budget, int count, long nowNanos) {
		for (int i = 0; i < count; i++) {
			budget.recordRequest(SERVICE, nowNanos);
		}
	}

	/**
	 * Six of 24 answers in a window fail after they have begun. The VM's part of the
	 * allowance is 2; half of its ratio for one window's requests would add 2.4.
	 */
	@Test
	void shouldContinueBegunAnswersOfAVmWhileTheRequestsOfTwoWindowsAllowIt() {
		RetryBudget budget = new RetryBudget(new VmId("vm-0"), RATIO, 20, WINDOW_NANOS, 3, true);
		budget.setMembers(vms(2), 0);
		long stepNanos = WINDOW_NANOS / 24;
		int granted = 0;
		for (int i = 0; i < 8 * 24; i++) {
			budget.recordRequest(SERVICE, i * stepNanos);
			if (i % 4 == 0 && budget.tryRetry(SERVICE, RetryBudget.Purpose.BEGUN_ANSWER, i * stepNanos)) {
				granted++;
			}
		}
		assertThat(granted).isGreaterThan(8 * 4);
	}

	private static RetryBudget knownBudget(int number, int vmCount) {
		RetryBudget budget = new RetryBudget(new VmId("vm-" + number), RATIO, ALLOWANCE, WINDOW_NANOS, 1, false);
		budget.setMembers(vms(vmCount), -2 * WINDOW_NANOS);
		return budget;
	}

	private static SortedSet<VmId> vms(int count) {
		return IntStream.range(0, count)
			.mapToObj((number) -> new VmId("vm-" + number))
			.collect(Collectors.toCollection(TreeSet::new));
	}

	private static int spend(RetryBudget budget, long nowNanos) {
		return spend(budget, RetryBudget.Purpose.OTHER, nowNanos);
	}

	private static int spend(RetryBudget budget, RetryBudget.Purpose purpose, long nowNanos) {
		int granted = 0;
		while (budget.tryRetry(SERVICE, purpose, nowNanos)) {
			granted++;
		}
		return granted;
	}

	@Property(tries = 200)
	void shouldStayWithinTheLimitAcrossAllVms(@ForAll long seed) {
		Random random = new Random(seed);
		int vmCount = 1 + random.nextInt(12);
		List<RetryBudget> budgets = new ArrayList<>();
		for (int i = 0; i < vmCount; i++) {
			budgets.add(knownBudget(i, vmCount));
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
				budget.answerBegan(SERVICE, nowNanos);
			}
			RetryBudget.Purpose purpose = RetryBudget.Purpose.values()[random.nextInt(2)];
			if (budget.tryRetry(SERVICE, purpose, nowNanos)) {
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
