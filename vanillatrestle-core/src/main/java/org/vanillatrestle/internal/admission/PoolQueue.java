package org.vanillatrestle.internal.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import org.vanillatrestle.internal.request.Admission;
import org.vanillatrestle.internal.request.DequeuedTicket;
import org.vanillatrestle.internal.request.PolicyRequest;
import org.vanillatrestle.internal.request.RefusalReason;
import org.vanillatrestle.internal.request.Ticket;

/**
 * The queued requests of one pool, and the number of requests that are admitted but not
 * yet placed.
 * <p>
 * A request is refused on arrival if it is not expected to be answered before its
 * deadline. Not thread safe: confined to the VM's event loop.
 */
public final class PoolQueue {

	private static final double WAIT_MARGIN = 1.2;

	private static final double SERVICE_MARGIN = 0.8;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final long MIN_RETRY_AFTER_MILLIS = 200;

	private static final long MAX_RETRY_AFTER_MILLIS = 30_000;

	private final AdmissionSettings settings;

	private final FairQueue queue;

	private final List<DequeuedTicket> evicted = new ArrayList<>();

	private int admittedCount;

	public PoolQueue(AdmissionSettings settings) {
		this.settings = settings;
		this.queue = new FairQueue(settings.queueLimit());
	}

	public FairQueue queue() {
		return this.queue;
	}

	/**
	 * Returns whether {@link #pollReady} may return any tickets.
	 * @return {@code true} if requests are queued or were evicted since the last call
	 */
	public boolean hasWork() {
		return !this.queue.isEmpty() || !this.evicted.isEmpty();
	}

	/**
	 * Returns the number of requests that reserve a slot of the pool but are not yet
	 * placed.
	 * @return the number of requests
	 */
	public int admittedCount() {
		return this.admittedCount;
	}

	/**
	 * Admits a request, which reserves a slot of the pool.
	 * @param ticket the request's ticket
	 */
	public void admit(Ticket ticket) {
		ticket.stage(Ticket.Stage.ADMITTED);
		this.admittedCount++;
	}

	/**
	 * Moves a ticket to another stage: releases its reserved slot if it was admitted, and
	 * removes it from the queue if it was queued.
	 * @param ticket the ticket
	 * @param stage the new stage
	 */
	public void moveToStage(Ticket ticket, Ticket.Stage stage) {
		if (ticket.stage() == Ticket.Stage.ADMITTED) {
			this.admittedCount--;
		}
		if (ticket.stage() == Ticket.Stage.QUEUED) {
			this.queue.remove(ticket);
		}
		ticket.stage(stage);
	}

	/**
	 * Queues or refuses a request.
	 * @param ticket the request's ticket
	 * @param drainRate the rate at which requests leave the queue
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return {@code Queued} or {@code Refused}
	 */
	public Admission offer(Ticket ticket, DrainRate drainRate, long nowNanos) {
		PolicyRequest request = ticket.request();
		double waitNanos = WAIT_MARGIN * (this.queue.requestsAhead(request) + 1) * drainRate.nanosPerRequest();
		long remainingNanos = request.deadlineNanos() - nowNanos;
		if (remainingNanos <= SERVICE_MARGIN * drainRate.serviceNanos()) {
			return new Admission.Refused(RefusalReason.DEADLINE, retryAfterMillis(waitNanos));
		}
		boolean overloaded = waitNanos > (remainingNanos - drainRate.serviceNanos())
				|| waitNanos > maxWaitNanos(request, remainingNanos);
		if (overloaded) {
			return new Admission.Refused(RefusalReason.OVERLOAD, retryAfterMillis(waitNanos));
		}
		Optional<Ticket> evictedTicket = this.queue.offer(ticket);
		Admission.Refused refusal = new Admission.Refused(RefusalReason.OVERLOAD, retryAfterMillis(waitNanos));
		if (evictedTicket.isPresent() && evictedTicket.get() == ticket) {
			return refusal;
		}
		evictedTicket.ifPresent((evictee) -> this.evicted.add(new DequeuedTicket(evictee, Optional.of(refusal))));
		return new Admission.Queued(ticket);
	}

	/**
	 * Removes and returns the tickets that leave the queue now.
	 * @param canStart whether a request can be placed now
	 * @param drainRate the rate at which requests leave the queue
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the tickets to place and the tickets whose requests are refused
	 */
	public List<DequeuedTicket> pollReady(Predicate<PolicyRequest> canStart, DrainRate drainRate, long nowNanos) {
		List<DequeuedTicket> result = new ArrayList<>(this.evicted);
		this.evicted.clear();
		while (!this.queue.isEmpty()) {
			Ticket next = this.queue.peek().orElseThrow();
			long remainingNanos = next.request().deadlineNanos() - nowNanos;
			if (remainingNanos < SERVICE_MARGIN * drainRate.serviceNanos()) {
				this.queue.drop();
				result.add(new DequeuedTicket(next,
						Optional.of(new Admission.Refused(RefusalReason.DEADLINE, MIN_RETRY_AFTER_MILLIS))));
				continue;
			}
			if (!canStart.test(next.request())) {
				break;
			}
			this.queue.poll();
			admit(next);
			result.add(new DequeuedTicket(next, Optional.empty()));
		}
		return result;
	}

	/**
	 * Removes and refuses all queued requests.
	 * @param refusal the refusal of each request
	 * @return the removed tickets, each with the refusal
	 */
	public List<DequeuedTicket> refuseAll(Admission.Refused refusal) {
		List<DequeuedTicket> result = new ArrayList<>();
		while (!this.queue.isEmpty()) {
			Ticket next = this.queue.peek().orElseThrow();
			this.queue.drop();
			result.add(new DequeuedTicket(next, Optional.of(refusal)));
		}
		return result;
	}

	private double maxWaitNanos(PolicyRequest request, long remainingNanos) {
		double maxNanos = remainingNanos * (this.settings.maxWaitPercent() / 100.0);
		return request.isForwarded() ? Math.min(maxNanos, this.settings.maxForwardedWaitNanos()) : maxNanos;
	}

	private static long retryAfterMillis(double waitNanos) {
		long millis = (long) (waitNanos / NANOS_PER_MILLI);
		return Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(MAX_RETRY_AFTER_MILLIS, millis));
	}

	/**
	 * The rate at which requests leave a queue.
	 *
	 * @param nanosPerRequest the expected time between two requests that leave the queue,
	 * in nanoseconds
	 * @param serviceNanos the typical time from a dispatch to the end of the response, in
	 * nanoseconds
	 */
	public record DrainRate(double nanosPerRequest, double serviceNanos) {

	}

}
