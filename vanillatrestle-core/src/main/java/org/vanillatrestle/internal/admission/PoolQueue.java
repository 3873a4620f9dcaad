package org.vanillatrestle.internal.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import org.vanillatrestle.internal.request.Admission;
import org.vanillatrestle.internal.request.PolicyRequest;
import org.vanillatrestle.internal.request.ReadyTicket;
import org.vanillatrestle.internal.request.RefusalReason;
import org.vanillatrestle.internal.request.Ticket;

/**
 * The requests that wait before one pool, and those that were let through but are not
 * placed yet.
 * <p>
 * A request is refused on arrival if it can't be answered before its deadline. Not thread
 * safe: owned by the VM's event loop.
 */
public final class PoolQueue {

	private static final double WAIT_MARGIN = 1.2;

	private static final double SERVICE_MARGIN = 0.8;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final long MIN_RETRY_MILLIS = 200;

	private static final long MAX_RETRY_MILLIS = 30_000;

	private final AdmissionSettings settings;

	private final FairQueue queue;

	private final List<ReadyTicket> givenUp = new ArrayList<>();

	private int admitted;

	public PoolQueue(AdmissionSettings settings) {
		this.settings = settings;
		this.queue = new FairQueue(settings.queueLimit());
	}

	public FairQueue queue() {
		return this.queue;
	}

	/**
	 * Tells whether {@link #ready} may return anything.
	 * @return whether requests wait or were given up
	 */
	public boolean hasWork() {
		return !this.queue.isEmpty() || !this.givenUp.isEmpty();
	}

	/**
	 * Returns the requests that hold a slot of the pool but are not placed yet.
	 * @return requests
	 */
	public int admitted() {
		return this.admitted;
	}

	/**
	 * Lets a request through.
	 * @param ticket the ticket
	 */
	public void admit(Ticket ticket) {
		ticket.stage(Ticket.Stage.ADMITTED);
		this.admitted++;
	}

	/**
	 * Notes that a ticket was placed or ended.
	 * @param ticket the ticket
	 * @param stage its new stage
	 */
	public void leave(Ticket ticket, Ticket.Stage stage) {
		if (ticket.stage() == Ticket.Stage.ADMITTED) {
			this.admitted--;
		}
		if (ticket.stage() == Ticket.Stage.QUEUED) {
			this.queue.remove(ticket);
		}
		ticket.stage(stage);
	}

	/**
	 * Queues a request or refuses it.
	 * @param ticket the ticket
	 * @param drain how fast the queue gets shorter
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the answer
	 */
	public Admission offer(Ticket ticket, Drain drain, long nowNanos) {
		PolicyRequest request = ticket.request();
		double waitNanos = WAIT_MARGIN * (this.queue.ahead(request) + 1) * drain.nanosPerRequest();
		long leftNanos = request.deadlineNanos() - nowNanos;
		if (leftNanos <= SERVICE_MARGIN * drain.serviceNanos()) {
			return new Admission.Refused(RefusalReason.DEADLINE, retryMillis(waitNanos));
		}
		boolean late = waitNanos > (leftNanos - drain.serviceNanos()) || waitNanos > maxWaitNanos(request, leftNanos);
		if (late) {
			return new Admission.Refused(RefusalReason.OVERLOAD, retryMillis(waitNanos));
		}
		Optional<Ticket> pushedOut = this.queue.offer(ticket);
		Admission.Refused refusal = new Admission.Refused(RefusalReason.OVERLOAD, retryMillis(waitNanos));
		if (pushedOut.isPresent() && pushedOut.get() == ticket) {
			return refusal;
		}
		pushedOut.ifPresent((out) -> this.givenUp.add(new ReadyTicket(out, Optional.of(refusal))));
		return new Admission.Queued(ticket);
	}

	/**
	 * Takes the tickets that leave the queue now.
	 * @param canStart whether a request may be placed now
	 * @param drain how fast the queue gets shorter
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the tickets to place and those given up
	 */
	public List<ReadyTicket> ready(Predicate<PolicyRequest> canStart, Drain drain, long nowNanos) {
		List<ReadyTicket> result = new ArrayList<>(this.givenUp);
		this.givenUp.clear();
		while (!this.queue.isEmpty()) {
			Ticket next = this.queue.peek().orElseThrow();
			long leftNanos = next.request().deadlineNanos() - nowNanos;
			if (leftNanos < SERVICE_MARGIN * drain.serviceNanos()) {
				this.queue.drop();
				result.add(new ReadyTicket(next,
						Optional.of(new Admission.Refused(RefusalReason.DEADLINE, MIN_RETRY_MILLIS))));
				continue;
			}
			if (!canStart.test(next.request())) {
				break;
			}
			this.queue.poll();
			admit(next);
			result.add(new ReadyTicket(next, Optional.empty()));
		}
		return result;
	}

	/**
	 * Gives up every request that waits.
	 * @param refusal why
	 * @return the tickets, all refused
	 */
	public List<ReadyTicket> giveUpAll(Admission.Refused refusal) {
		List<ReadyTicket> result = new ArrayList<>();
		while (!this.queue.isEmpty()) {
			Ticket next = this.queue.peek().orElseThrow();
			this.queue.drop();
			result.add(new ReadyTicket(next, Optional.of(refusal)));
		}
		return result;
	}

	private double maxWaitNanos(PolicyRequest request, long leftNanos) {
		double maxNanos = leftNanos * (this.settings.maxWaitPercent() / 100.0);
		return request.forwarded() ? Math.min(maxNanos, this.settings.maxForwardedWaitNanos()) : maxNanos;
	}

	private static long retryMillis(double waitNanos) {
		long millis = (long) (waitNanos / NANOS_PER_MILLI);
		return Math.max(MIN_RETRY_MILLIS, Math.min(MAX_RETRY_MILLIS, millis));
	}

	/**
	 * How fast a queue gets shorter.
	 *
	 * @param nanosPerRequest expected time between two requests that leave the queue
	 * @param serviceNanos usual time from a dispatch to the end of the answer
	 */
	public record Drain(double nanosPerRequest, double serviceNanos) {

	}

}
