package org.vanillatrestle.internal.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

import org.vanillatrestle.CustomerId;
import org.vanillatrestle.internal.request.PolicyRequest;
import org.vanillatrestle.internal.request.Ticket;

/**
 * The bounded request queue of one pool. Customers are served by weighted fair queueing;
 * the requests of one customer are ordered by priority, then by deadline.
 * <p>
 * A customer's weight is the highest priority among its queued requests plus one. A
 * customer that queues less than its fair share never loses a queued request in favour of
 * a customer that queues more. Not thread safe: confined to the VM's event loop.
 */
public final class FairQueue {

	private static final double TOKENS_PER_COST_UNIT = 500;

	private final int maxSize;

	private final Map<CustomerId, CustomerQueue> customerQueues = new HashMap<>();

	private double virtualTime;

	private long nextSequence;

	private int size;

	/**
	 * Creates an empty queue.
	 * @param maxSize the maximum number of queued requests
	 */
	public FairQueue(int maxSize) {
		this.maxSize = maxSize;
	}

	public int size() {
		return this.size;
	}

	public boolean isEmpty() {
		return this.size == 0;
	}

	/**
	 * Adds a ticket. If the queue exceeds its maximum size, evicts the last ticket of the
	 * customer with the most queued requests relative to its weight.
	 * @param ticket the ticket to add
	 * @return the evicted ticket, which may be the added one, or empty
	 */
	public Optional<Ticket> offer(Ticket ticket) {
		CustomerQueue customerQueue = this.customerQueues.computeIfAbsent(ticket.request().customer(),
				(customer) -> new CustomerQueue());
		if (customerQueue.entries.isEmpty()) {
			customerQueue.virtualFinishTime = Math.max(customerQueue.virtualFinishTime, this.virtualTime);
		}
		customerQueue.entries.add(new Entry(ticket, this.nextSequence++));
		this.size++;
		if (this.size <= this.maxSize) {
			return Optional.empty();
		}
		return Optional.of(evictFromLargest());
	}

	/**
	 * Returns the next ticket without removing it.
	 * @return the ticket, or empty if the queue is empty
	 */
	public Optional<Ticket> peek() {
		CustomerQueue customerQueue = nextCustomerQueue();
		return (customerQueue != null) ? Optional.of(customerQueue.entries.first().ticket) : Optional.empty();
	}

	/**
	 * Removes the next ticket and charges its cost to its customer.
	 * @return the ticket, or empty if the queue is empty
	 */
	public Optional<Ticket> poll() {
		CustomerQueue customerQueue = nextCustomerQueue();
		if (customerQueue == null) {
			return Optional.empty();
		}
		Ticket ticket = customerQueue.entries.first().ticket;
		double weight = customerQueue.weight();
		customerQueue.entries.pollFirst();
		this.size--;
		this.virtualTime = Math.max(this.virtualTime, customerQueue.virtualFinishTime);
		customerQueue.virtualFinishTime += cost(ticket.request()) / weight;
		return Optional.of(ticket);
	}

	/**
	 * Removes the next ticket without charging its cost to its customer.
	 */
	public void drop() {
		CustomerQueue customerQueue = nextCustomerQueue();
		if (customerQueue != null) {
			customerQueue.entries.pollFirst();
			this.size--;
		}
	}

	/**
	 * Removes a ticket whose request has ended, for example because its caller
	 * disconnected.
	 * @param ticket the ticket
	 * @return {@code true} if the ticket was queued
	 */
	public boolean remove(Ticket ticket) {
		CustomerQueue customerQueue = this.customerQueues.get(ticket.request().customer());
		boolean removed = customerQueue != null && customerQueue.entries.removeIf((entry) -> entry.ticket == ticket);
		this.size -= removed ? 1 : 0;
		return removed;
	}

	/**
	 * Estimates the number of queued requests that will be served before a new request.
	 * @param request the new request
	 * @return the estimated number of requests
	 */
	public double requestsAhead(PolicyRequest request) {
		CustomerQueue ownQueue = this.customerQueues.get(request.customer());
		double ownWeight = request.priority() + 1;
		if (ownQueue != null && !ownQueue.entries.isEmpty()) {
			ownWeight = Math.max(ownWeight, ownQueue.weight());
		}
		int ownAhead = (ownQueue != null) ? ownQueue.ahead(request) : 0;
		double result = ownAhead;
		for (CustomerQueue customerQueue : this.customerQueues.values()) {
			if (customerQueue != ownQueue && !customerQueue.entries.isEmpty()) {
				result += Math.min(customerQueue.entries.size(), (ownAhead + 1) * customerQueue.weight() / ownWeight);
			}
		}
		return result;
	}

	/**
	 * Removes the state of a customer that has no queued requests.
	 * @param customer the customer
	 */
	public void removeIdleCustomer(CustomerId customer) {
		this.customerQueues.computeIfPresent(customer,
				(key, customerQueue) -> customerQueue.entries.isEmpty() ? null : customerQueue);
	}

	private Ticket evictFromLargest() {
		CustomerQueue largest = null;
		for (CustomerQueue customerQueue : this.customerQueues.values()) {
			if (largest == null || customerQueue.weightedSize() > largest.weightedSize()) {
				largest = customerQueue;
			}
		}
		this.size--;
		return largest.entries.pollLast().ticket;
	}

	private CustomerQueue nextCustomerQueue() {
		CustomerQueue next = null;
		for (CustomerQueue customerQueue : this.customerQueues.values()) {
			if (!customerQueue.entries.isEmpty()
					&& (next == null || customerQueue.virtualFinishTime < next.virtualFinishTime)) {
				next = customerQueue;
			}
		}
		return next;
	}

	private static double cost(PolicyRequest request) {
		return 1 + request.countedTokens() / TOKENS_PER_COST_UNIT;
	}

	private record Entry(Ticket ticket, long sequence) {

		static final Comparator<Entry> ORDER = Comparator
			.<Entry>comparingInt((entry) -> -entry.ticket.request().priority())
			.thenComparingLong((entry) -> entry.ticket.request().deadlineNanos())
			.thenComparingLong(Entry::sequence);

	}

	private static final class CustomerQueue {

		private final TreeSet<Entry> entries = new TreeSet<>(Entry.ORDER);

		private double virtualFinishTime;

		double weight() {
			return this.entries.first().ticket.request().priority() + 1.0;
		}

		double weightedSize() {
			return this.entries.isEmpty() ? 0 : this.entries.size() / weight();
		}

		int ahead(PolicyRequest request) {
			int result = 0;
			for (Entry entry : this.entries) {
				if (entry.ticket.request().priority() < request.priority()) {
					break;
				}
				result++;
			}
			return result;
		}

	}

}
