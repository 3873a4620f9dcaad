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
import org.vanillatrestle.internal.request.Placement;
import org.vanillatrestle.internal.request.ReadyTicket;
import org.vanillatrestle.internal.request.Ticket;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What a customer inside its limit sees of another that is over it.
 */
class OverLimitTests {

	private static final CustomerId MODEST = new CustomerId("modest");

	private static final CustomerId GREEDY = new CustomerId("greedy");

	private static final int LIMIT_PER_SECOND = 10;

	private static final long STEP_NANOS = 1_000_000;

	private static final int STEPS = 300_000;

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3 })
	void shouldKeepTheTailOfACustomerInsideItsLimit(long seed) {
		long atLimit = modestP99Nanos(seed, LIMIT_PER_SECOND);

		long farOver = modestP99Nanos(seed, 5 * LIMIT_PER_SECOND);

		assertThat(farOver).isLessThanOrEqualTo(atLimit * 11 / 10);
	}

	private static long modestP99Nanos(long seed, int greedyPerSecond) {
		PolicyFixture world = new PolicyFixture(PolicySettings.builder().build(),
				PolicyFixture.service().maxRequestsPerSecond(LIMIT_PER_SECOND).build());
		world.policy.contractChanged(world.contract(MODEST), 0);
		world.policy.contractChanged(world.contract(GREEDY), 0);
		for (int i = 0; i < 4; i++) {
			world.announce("engine-" + i, 4, 1, false, 0);
		}
		Random modestArrivals = new Random(seed);
		Random greedyArrivals = new Random(seed + 100);
		Random service = new Random(seed + 200);
		PriorityQueue<Running> running = new PriorityQueue<>(Comparator.comparingLong(Running::endNanos));
		List<Long> modest = new ArrayList<>();
		for (int step = 1; step <= STEPS; step++) {
			long nowNanos = step * STEP_NANOS;
			while (!running.isEmpty() && running.peek().endNanos <= nowNanos) {
				end(world, running.poll(), modest, nowNanos);
			}
			if (modestArrivals.nextInt(1_000) < LIMIT_PER_SECOND / 2) {
				arrive(world, MODEST, nowNanos, running, service);
			}
			if (greedyArrivals.nextInt(1_000) < greedyPerSecond) {
				arrive(world, GREEDY, nowNanos, running, service);
			}
			for (ReadyTicket ready : world.policy.ready(nowNanos)) {
				if (ready.refusal().isEmpty()) {
					start(world, ready.ticket(), nowNanos, running, service);
				}
			}
		}
		Collections.sort(modest);
		return modest.get(modest.size() * 99 / 100);
	}

	private static void arrive(PolicyFixture world, CustomerId customer, long nowNanos, PriorityQueue<Running> running,
			Random service) {
		Admission admission = world.policy.arrive(
				world.request(customer).deadlineNanos(nowNanos + 60 * PolicyFixture.SECOND_NANOS).build(), nowNanos);
		if (admission instanceof Admission.Admitted admitted) {
			start(world, admitted.ticket(), nowNanos, running, service);
		}
	}

	private static void start(PolicyFixture world, Ticket ticket, long nowNanos, PriorityQueue<Running> running,
			Random service) {
		Placement placement = world.policy.place(ticket.request(), Set.of(), true, nowNanos);
		Attempt attempt = world.policy.dispatched(ticket, placement, nowNanos);
		long serviceNanos = (500 + service.nextInt(1_000)) * STEP_NANOS;
		running.add(new Running(attempt, nowNanos + serviceNanos));
	}

	private static void end(PolicyFixture world, Running ended, List<Long> modest, long nowNanos) {
		Ticket ticket = ended.attempt.ticket();
		world.policy.firstByte(ended.attempt, nowNanos);
		world.policy.finished(ended.attempt, AttemptOutcome.COMPLETED, 100, nowNanos);
		world.policy.release(ticket, 300);
		if (ticket.request().customer().equals(MODEST)) {
			modest.add(nowNanos - ticket.arrivedNanos());
		}
	}

	private record Running(Attempt attempt, long endNanos) {

	}

}
