package org.vanillatrestle.internal.policy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.internal.request.Admission;
import org.vanillatrestle.internal.request.Attempt;
import org.vanillatrestle.internal.request.AttemptOutcome;
import org.vanillatrestle.internal.request.DequeuedTicket;
import org.vanillatrestle.internal.request.Placement;
import org.vanillatrestle.internal.request.Ticket;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a customer that exceeds its rate limit does not increase the latency of a
 * customer that stays within its own limit. Both customers share one pool; the p99
 * latency of the latter is compared between the former sending at its limit and at 5
 * times its limit.
 */
class OverLimitTests {

	private static final CustomerId WITHIN_LIMIT = new CustomerId("modest");

	private static final CustomerId OVER_LIMIT = new CustomerId("greedy");

	private static final int LIMIT_REQUESTS_PER_SECOND = 10;

	private static final long STEP_NANOS = 1_000_000;

	private static final int STEP_COUNT = 300_000;

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3 })
	void shouldKeepP99LatencyOfCustomerWithinLimit(long seed) {
		long p99WithOtherAtLimitNanos = withinLimitP99Nanos(seed, LIMIT_REQUESTS_PER_SECOND);

		long p99WithOtherOverLimitNanos = withinLimitP99Nanos(seed, 5 * LIMIT_REQUESTS_PER_SECOND);

		assertThat(p99WithOtherOverLimitNanos).isLessThanOrEqualTo(p99WithOtherAtLimitNanos * 11 / 10);
	}

	private static long withinLimitP99Nanos(long seed, int otherRequestsPerSecond) {
		PolicyFixture fixture = new PolicyFixture(PolicySettings.builder().build(),
				PolicyFixture.service().maxRequestsPerSecond(LIMIT_REQUESTS_PER_SECOND).build());
		fixture.policy.contractChanged(fixture.contract(WITHIN_LIMIT), 0);
		fixture.policy.contractChanged(fixture.contract(OVER_LIMIT), 0);
		for (int i = 0; i < 4; i++) {
			fixture.announce("engine-" + i, 4, 1, false, 0);
		}
		Random withinLimitArrivals = new Random(seed);
		Random otherArrivals = new Random(seed + 100);
		Random serviceTimes = new Random(seed + 200);
		PriorityQueue<RunningAttempt> running = new PriorityQueue<>(Comparator.comparingLong(RunningAttempt::endNanos));
		List<Long> withinLimitLatencies = new ArrayList<>();
		for (int step = 1; step <= STEP_COUNT; step++) {
			long nowNanos = step * STEP_NANOS;
			while (!running.isEmpty() && running.peek().endNanos <= nowNanos) {
				end(fixture, running.poll(), withinLimitLatencies, nowNanos);
			}
			if (withinLimitArrivals.nextInt(1_000) < LIMIT_REQUESTS_PER_SECOND / 2) {
				arrive(fixture, WITHIN_LIMIT, nowNanos, running, serviceTimes);
			}
			if (otherArrivals.nextInt(1_000) < otherRequestsPerSecond) {
				arrive(fixture, OVER_LIMIT, nowNanos, running, serviceTimes);
			}
			for (DequeuedTicket ready : fixture.policy.pollReady(nowNanos)) {
				if (ready.refusal().isEmpty()) {
					start(fixture, ready.ticket(), nowNanos, running, serviceTimes);
				}
			}
		}
		Collections.sort(withinLimitLatencies);
		return withinLimitLatencies.get(withinLimitLatencies.size() * 99 / 100);
	}

	private static void arrive(PolicyFixture fixture, CustomerId customer, long nowNanos,
			PriorityQueue<RunningAttempt> running, Random serviceTimes) {
		Admission admission = fixture.policy.admit(
				fixture.request(customer).deadlineNanos(nowNanos + 60 * PolicyFixture.SECOND_NANOS).build(), nowNanos);
		if (admission instanceof Admission.Admitted admitted) {
			start(fixture, admitted.ticket(), nowNanos, running, serviceTimes);
		}
	}

	private static void start(PolicyFixture fixture, Ticket ticket, long nowNanos,
			PriorityQueue<RunningAttempt> running, Random serviceTimes) {
		Placement placement = fixture.policy.choosePlacement(ticket.request(), Set.of(), true, nowNanos);
		Attempt attempt = fixture.policy.attemptStarted(ticket, placement, nowNanos);
		long serviceNanos = (500 + serviceTimes.nextInt(1_000)) * STEP_NANOS;
		running.add(new RunningAttempt(attempt, nowNanos + serviceNanos));
	}

	private static void end(PolicyFixture fixture, RunningAttempt finished, List<Long> withinLimitLatencies,
			long nowNanos) {
		Ticket ticket = finished.attempt.ticket();
		fixture.policy.firstByteReceived(finished.attempt, nowNanos);
		fixture.policy.attemptFinished(finished.attempt, AttemptOutcome.COMPLETED, 100, nowNanos);
		fixture.policy.release(ticket, 300);
		if (ticket.request().customer().equals(WITHIN_LIMIT)) {
			withinLimitLatencies.add(nowNanos - ticket.arrivedNanos());
		}
	}

	private record RunningAttempt(Attempt attempt, long endNanos) {

	}

}
