package org.vanillatrestle.internal.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.vanillatrestle.ContractService;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.ServiceKind;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.internal.request.PolicyRequest;
import org.vanillatrestle.internal.request.Ticket;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the order, eviction and fairness of {@link FairQueue}.
 */
class FairQueueTests {

	private static final ContractService SERVICE = ContractService.builder(new ServiceName("drafts"), ServiceKind.PLAIN)
		.build();

	@Test
	void shouldOrderRequestsOfOneCustomerByPriorityThenDeadline() {
		FairQueue queue = new FairQueue(10);
		Ticket laterDeadline = ticket("a", 5, 90);
		Ticket earlierDeadline = ticket("a", 5, 10);
		Ticket highPriority = ticket("a", 9, 99);
		List.of(laterDeadline, earlierDeadline, highPriority).forEach(queue::offer);

		assertThat(List.of(queue.poll().orElseThrow(), queue.poll().orElseThrow(), queue.poll().orElseThrow()))
			.containsExactly(highPriority, earlierDeadline, laterDeadline);
	}

	@Test
	void shouldEvictLastTicketOfLargestCustomerWhenFull() {
		FairQueue queue = new FairQueue(3);
		queue.offer(ticket("greedy", 5, 1));
		queue.offer(ticket("greedy", 5, 2));
		Ticket last = ticket("greedy", 5, 3);
		queue.offer(last);

		Optional<Ticket> evicted = queue.offer(ticket("modest", 5, 9));

		assertThat(evicted).containsSame(last);
		assertThat(queue.size()).isEqualTo(3);
	}

	@Property(seed = "3", tries = 200)
	void shouldServeCustomersOfEqualWeightEqually(
			@ForAll @Size(min = 2, max = 5) List<@IntRange(min = 1, max = 60) Integer> backlogs) {
		FairQueue queue = new FairQueue(1_000);
		for (int customer = 0; customer < backlogs.size(); customer++) {
			for (int i = 0; i < backlogs.get(customer); i++) {
				queue.offer(ticket("customer-" + customer, 5, i));
			}
		}
		int smallestBacklog = backlogs.stream().min(Integer::compare).orElseThrow();
		Map<CustomerId, Integer> served = new HashMap<>();
		List<Integer> counts = new ArrayList<>();
		for (int i = 0; i < smallestBacklog * backlogs.size(); i++) {
			served.merge(queue.poll().orElseThrow().request().customer(), 1, Integer::sum);
			counts.clear();
			counts.addAll(served.values());
			int max = counts.stream().max(Integer::compare).orElseThrow();
			int min = (served.size() < backlogs.size()) ? 0 : counts.stream().min(Integer::compare).orElseThrow();

			assertThat(max - min).isLessThanOrEqualTo(1);
		}
	}

	private static Ticket ticket(String customer, int priority, long deadlineNanos) {
		return new Ticket(PolicyRequest.builder(new CustomerId(customer), SERVICE)
			.priority(priority)
			.deadlineNanos(deadlineNanos)
			.build(), 0);
	}

}
