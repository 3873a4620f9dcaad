package org.vanillatrestle.daemon.internal.pipeline;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import org.vanillatrestle.internal.policy.RequestPolicy;
import org.vanillatrestle.internal.request.Admission;
import org.vanillatrestle.internal.request.DequeuedTicket;
import org.vanillatrestle.internal.request.PolicyRequest;
import org.vanillatrestle.internal.request.RefusalReason;
import org.vanillatrestle.internal.request.Ticket;

/**
 * Admits requests that are within their contract's limits and the targets' capacity,
 * queues others, and immediately refuses requests that can't be answered in time.
 * <p>
 * Used on the VM's event loop. Each ticket is released when its exchange ends.
 */
public final class AdmissionFilter implements Filter {

	private static final long POLL_INTERVAL_MILLIS = 10;

	private final EventLoop eventLoop;

	private final RequestPolicy policy;

	private final LongSupplier clockNanos;

	private final Map<Ticket, QueuedRequest> queuedRequests = new HashMap<>();

	private Future<?> pollTimer;

	/**
	 * Creates the filter.
	 * @param eventLoop the VM's event loop
	 * @param policy decides whether to admit, queue or refuse a request
	 * @param clockNanos the monotonic clock in nanoseconds
	 */
	public AdmissionFilter(EventLoop eventLoop, RequestPolicy policy, LongSupplier clockNanos) {
		this.eventLoop = eventLoop;
		this.policy = policy;
		this.clockNanos = clockNanos;
	}

	@Override
	public void apply(Exchange exchange, Continuation next) {
		PolicyRequest request = PolicyRequestFactory.of(exchange);
		Admission admission = this.policy.admit(request, this.clockNanos.getAsLong());
		if (admission instanceof Admission.Refused refused) {
			refuse(exchange, refused);
		}
		else if (admission instanceof Admission.Queued queued) {
			attachTicket(exchange, queued.ticket());
			enqueue(queued.ticket(), new QueuedRequest(next, (refusal) -> refuse(exchange, refusal)));
		}
		else if (admission instanceof Admission.Admitted admitted) {
			attachTicket(exchange, admitted.ticket());
			next.proceed();
		}
	}

	private void enqueue(Ticket ticket, QueuedRequest queuedRequest) {
		this.queuedRequests.put(ticket, queuedRequest);
		startPolling();
	}

	/**
	 * Readmits a request after a failed attempt, and queues it if capacity is short.
	 * @param exchange the request whose attempt failed
	 * @param next makes the next attempt
	 * @param whenRefused run instead if the policy refuses another attempt
	 */
	void readmit(Exchange exchange, Continuation next, Runnable whenRefused) {
		Ticket ticket = exchange.ticket();
		if (exchange.isEnded()) {
			next.proceed();
			return;
		}
		Admission admission = this.policy.readmit(ticket, this.clockNanos.getAsLong());
		if (admission instanceof Admission.Refused) {
			whenRefused.run();
		}
		else if (admission instanceof Admission.Queued) {
			enqueue(ticket, new QueuedRequest(next, (refusal) -> whenRefused.run()));
		}
		else {
			next.proceed();
		}
	}

	private void attachTicket(Exchange exchange, Ticket ticket) {
		exchange.ticket(ticket);
		exchange.addListener((ended) -> {
			this.queuedRequests.remove(ticket);
			this.policy.release(ticket, ended.usedTokens());
			startPolling();
		});
	}

	private void refuse(Exchange exchange, Admission.Refused refused) {
		exchange.refuse(toRefusal(exchange, refused));
	}

	private static Refusal toRefusal(Exchange exchange, Admission.Refused refused) {
		RefusalReason reason = refused.reason();
		return switch (reason) {
			case RATE -> Refusals.limitReached("maxRequestsPerSecond", refused.retryAfterMillis());
			case TOKENS -> Refusals.limitReached("maxTokensPerSecond", refused.retryAfterMillis());
			case IN_FLIGHT -> Refusals.limitReached("maxInFlight", refused.retryAfterMillis());
			case OVERLOAD -> Refusals.overloaded("too much work is queued", refused.retryAfterMillis());
			case DEADLINE -> Refusals.overloaded("the deadline is too close", refused.retryAfterMillis());
			case NO_TARGET -> Refusals.noTarget(exchange.call().service().name().value(), refused.retryAfterMillis());
		};
	}

	private void startPolling() {
		if (this.pollTimer == null && !this.queuedRequests.isEmpty()) {
			this.pollTimer = this.eventLoop.scheduleAtFixedRate(this::poll, 0, POLL_INTERVAL_MILLIS,
					TimeUnit.MILLISECONDS);
		}
	}

	private void poll() {
		for (DequeuedTicket ready : this.policy.pollReady(this.clockNanos.getAsLong())) {
			QueuedRequest queuedRequest = this.queuedRequests.remove(ready.ticket());
			if (queuedRequest == null) {
				continue;
			}
			if (ready.refusal().isPresent()) {
				queuedRequest.whenRefused().accept(ready.refusal().get());
			}
			else {
				queuedRequest.next().proceed();
			}
		}
		if (this.queuedRequests.isEmpty() && this.pollTimer != null) {
			this.pollTimer.cancel(false);
			this.pollTimer = null;
		}
	}

	/**
	 * Returns the number of queued requests.
	 * @return the number of requests
	 */
	public int queuedCount() {
		return this.queuedRequests.size();
	}

	private record QueuedRequest(Continuation next, Consumer<Admission.Refused> whenRefused) {

	}

}
