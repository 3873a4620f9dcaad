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
import org.vanillatrestle.internal.request.PolicyRequest;
import org.vanillatrestle.internal.request.ReadyTicket;
import org.vanillatrestle.internal.request.RefusalReason;
import org.vanillatrestle.internal.request.Ticket;

/**
 * Admits requests within their contract's limits and the targets' capacity, lets others
 * wait, and refuses at once what can't be answered in time.
 * <p>
 * Used on the VM's event loop. Each ticket is released when its exchange ends.
 */
public final class AdmissionFilter implements Filter {

	private static final long POLL_MILLIS = 10;

	private final EventLoop eventLoop;

	private final RequestPolicy policy;

	private final LongSupplier clockNanos;

	private final Map<Ticket, Waiting> waiting = new HashMap<>();

	private Future<?> poll;

	/**
	 * Creates the filter.
	 * @param eventLoop the VM's event loop
	 * @param policy decides
	 * @param clockNanos the monotonic clock in nanoseconds
	 */
	public AdmissionFilter(EventLoop eventLoop, RequestPolicy policy, LongSupplier clockNanos) {
		this.eventLoop = eventLoop;
		this.policy = policy;
		this.clockNanos = clockNanos;
	}

	@Override
	public void apply(Exchange exchange, Continuation next) {
		PolicyRequest request = PolicyRequests.of(exchange);
		Admission admission = this.policy.arrive(request, this.clockNanos.getAsLong());
		if (admission instanceof Admission.Refused refused) {
			refuse(exchange, refused);
		}
		else if (admission instanceof Admission.Queued queued) {
			hold(exchange, queued.ticket());
			await(queued.ticket(), new Waiting(next, (refusal) -> refuse(exchange, refusal)));
		}
		else if (admission instanceof Admission.Admitted admitted) {
			hold(exchange, admitted.ticket());
			next.proceed();
		}
	}

	private void await(Ticket ticket, Waiting entry) {
		this.waiting.put(ticket, entry);
		startPolling();
	}

	/**
	 * Lets an admitted request wait for its next attempt, as capacity demands.
	 * @param exchange the request, after a failed attempt
	 * @param next makes the attempt
	 * @param whenRefused run instead if no attempt makes sense any more
	 */
	void again(Exchange exchange, Continuation next, Runnable whenRefused) {
		Ticket ticket = exchange.ticket();
		if (exchange.isEnded()) {
			next.proceed();
			return;
		}
		Admission admission = this.policy.again(ticket, this.clockNanos.getAsLong());
		if (admission instanceof Admission.Refused) {
			whenRefused.run();
		}
		else if (admission instanceof Admission.Queued) {
			await(ticket, new Waiting(next, (refusal) -> whenRefused.run()));
		}
		else {
			next.proceed();
		}
	}

	private void hold(Exchange exchange, Ticket ticket) {
		exchange.ticket(ticket);
		exchange.whenEnded((ended) -> {
			this.waiting.remove(ticket);
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
			case OVERLOAD -> Refusals.overloaded("too much work is waiting", refused.retryAfterMillis());
			case DEADLINE -> Refusals.overloaded("the deadline is too near", refused.retryAfterMillis());
			case NO_TARGET -> Refusals.noTarget(exchange.call().service().name().value(), refused.retryAfterMillis());
		};
	}

	private void startPolling() {
		if (this.poll == null && !this.waiting.isEmpty()) {
			this.poll = this.eventLoop.scheduleAtFixedRate(this::poll, 0, POLL_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	private void poll() {
		for (ReadyTicket ready : this.policy.ready(this.clockNanos.getAsLong())) {
			Waiting entry = this.waiting.remove(ready.ticket());
			if (entry == null) {
				continue;
			}
			if (ready.refusal().isPresent()) {
				entry.whenRefused().accept(ready.refusal().get());
			}
			else {
				entry.next().proceed();
			}
		}
		if (this.waiting.isEmpty() && this.poll != null) {
			this.poll.cancel(false);
			this.poll = null;
		}
	}

	/**
	 * Returns the number of requests that wait.
	 * @return the number
	 */
	public int waitingCount() {
		return this.waiting.size();
	}

	private record Waiting(Continuation next, Consumer<Admission.Refused> whenRefused) {

	}

}
