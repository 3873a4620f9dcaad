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
 * The bounded queue before one pool: weighted fair between customers, by priority and
 * deadline within each.
 * <p>
 * A customer's weight is its highest waiting priority plus one. A customer that waits for
 * less than its fair share never loses a place to one that waits for more. Not thread
 * safe: owned by the VM's event loop.
 */
public final class FairQueue {

	private static final double TOKENS_PER_UNIT = 500;

	private final int limit;

	private final Map<CustomerId, Line> lines = new HashMap<>();

	private double virtualTime;

	private long nextSequence;

	private int size;

	/**
	 * Creates an empty queue.
	 * @param limit greatest number of waiting requests
	 */
	public FairQueue(int limit) {
		this.limit = limit;
	}

	public int size() {
		return this.size;
	}

	public boolean isEmpty() {
		return this.size == 0;
	}

	/**
	 * Adds a ticket; a full queue gives up the last ticket of the customer that waits for
	 * most relative to its weight.
	 * @param ticket the ticket
	 * @return the ticket that was given up, maybe the new one, or empty
	 */
	public Optional<Ticket> offer(Ticket ticket) {
		Line line = this.lines.computeIfAbsent(ticket.request().customer(), (customer) -> new Line());
		if (line.entries.isEmpty()) {
			line.finish = Math.max(line.finish, this.virtualTime);
		}
		line.entries.add(new Entry(ticket, this.nextSequence++));
		this.size++;
		if (this.size <= this.limit) {
			return Optional.empty();
		}
		return Optional.of(giveUp());
	}

	/**
	 * Returns the ticket whose turn it is.
	 * @return the ticket, or empty
	 */
	public Optional<Ticket> peek() {
		Line line = nextLine();
		return (line != null) ? Optional.of(line.entries.first().ticket) : Optional.empty();
	}

	/**
	 * Removes the ticket whose turn it is.
	 * @return the ticket, or empty
	 */
	public Optional<Ticket> poll() {
		Line line = nextLine();
		if (line == null) {
			return Optional.empty();
		}
		Ticket ticket = line.entries.first().ticket;
		double weight = line.weight();
		line.entries.pollFirst();
		this.size--;
		this.virtualTime = Math.max(this.virtualTime, line.finish);
		line.finish += cost(ticket.request()) / weight;
		return Optional.of(ticket);
	}

	/**
	 * Removes the ticket whose turn it is without counting it as served.
	 */
	public void drop() {
		Line line = nextLine();
		if (line != null) {
			line.entries.pollFirst();
			this.size--;
		}
	}

	/**
	 * Removes a ticket whose caller left.
	 * @param ticket the ticket
	 * @return whether it was waiting
	 */
	public boolean remove(Ticket ticket) {
		Line line = this.lines.get(ticket.request().customer());
		boolean removed = line != null && line.entries.removeIf((entry) -> entry.ticket == ticket);
		this.size -= removed ? 1 : 0;
		return removed;
	}

	/**
	 * Returns how many requests are expected to be served before a new one.
	 * @param request the new request
	 * @return requests
	 */
	public double ahead(PolicyRequest request) {
		Line own = this.lines.get(request.customer());
		double ownWeight = request.priority() + 1;
		if (own != null && !own.entries.isEmpty()) {
			ownWeight = Math.max(ownWeight, own.weight());
		}
		int ownAhead = (own != null) ? own.ahead(request) : 0;
		double result = ownAhead;
		for (Line line : this.lines.values()) {
			if (line != own && !line.entries.isEmpty()) {
				result += Math.min(line.entries.size(), (ownAhead + 1) * line.weight() / ownWeight);
			}
		}
		return result;
	}

	/**
	 * Forgets a customer without waiting requests.
	 * @param customer the customer
	 */
	public void forget(CustomerId customer) {
		this.lines.computeIfPresent(customer, (key, line) -> line.entries.isEmpty() ? null : line);
	}

	private Ticket giveUp() {
		Line longest = null;
		for (Line line : this.lines.values()) {
			if (longest == null || line.backlog() > longest.backlog()) {
				longest = line;
			}
		}
		this.size--;
		return longest.entries.pollLast().ticket;
	}

	private Line nextLine() {
		Line next = null;
		for (Line line : this.lines.values()) {
			if (!line.entries.isEmpty() && (next == null || line.finish < next.finish)) {
				next = line;
			}
		}
		return next;
	}

	private static double cost(PolicyRequest request) {
		return 1 + request.countedTokens() / TOKENS_PER_UNIT;
	}

	private record Entry(Ticket ticket, long sequence) {

		static final Comparator<Entry> ORDER = Comparator
			.<Entry>comparingInt((entry) -> -entry.ticket.request().priority())
			.thenComparingLong((entry) -> entry.ticket.request().deadlineNanos())
			.thenComparingLong(Entry::sequence);

	}

	private static final class Line {

		private final TreeSet<Entry> entries = new TreeSet<>(Entry.ORDER);

		private double finish;

		double weight() {
			return this.entries.first().ticket.request().priority() + 1.0;
		}

		double backlog() {
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
