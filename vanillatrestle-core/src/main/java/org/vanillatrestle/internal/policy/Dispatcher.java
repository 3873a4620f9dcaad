package org.vanillatrestle.internal.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.internal.admission.AdmissionSettings;
import org.vanillatrestle.internal.admission.PoolQueue;
import org.vanillatrestle.internal.request.Admission;
import org.vanillatrestle.internal.request.PolicyRequest;
import org.vanillatrestle.internal.request.PoolKey;
import org.vanillatrestle.internal.request.ReadyTicket;
import org.vanillatrestle.internal.request.RefusalReason;
import org.vanillatrestle.internal.request.RegionSummary;
import org.vanillatrestle.internal.request.Ticket;
import org.vanillatrestle.internal.select.Pool;
import org.vanillatrestle.internal.select.TargetSelector;
import org.vanillatrestle.internal.sendaway.HomeView;
import org.vanillatrestle.internal.sendaway.SendAway;

/**
 * Holds requests before the pools until a target here or elsewhere can start them.
 * <p>
 * A request that was let through holds a slot until it is placed or released. Not thread
 * safe: owned by the VM's event loop.
 */
final class Dispatcher {

	private static final long RETRY_MILLIS = 1_000;

	private static final long OUTAGE_WAIT_NANOS = 2_000_000_000;

	private static final double TOKENS_PER_PRICE = 1_000;

	private final AdmissionSettings settings;

	private final TargetSelector selector;

	private final SendAway sendAway;

	private final Map<PoolKey, PoolQueue> queues = new HashMap<>();

	Dispatcher(AdmissionSettings settings, TargetSelector selector, SendAway sendAway) {
		this.settings = settings;
		this.selector = selector;
		this.sendAway = sendAway;
	}

	/**
	 * Lets a request through, queues it or refuses it.
	 * @param ticket the request's ticket
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the answer
	 */
	Admission queueOrStart(Ticket ticket, long nowNanos) {
		PolicyRequest request = ticket.request();
		Pool pool = this.selector.pool(request.pool(), nowNanos);
		PoolQueue queue = this.queues.computeIfAbsent(request.pool(), (key) -> new PoolQueue(this.settings));
		if (queue.queue().isEmpty() && canStart(request, queue, nowNanos)) {
			queue.admit(ticket);
			return new Admission.Admitted(ticket);
		}
		if (!pool.wasSeen() || pool.outageNanos(nowNanos) > OUTAGE_WAIT_NANOS) {
			return new Admission.Refused(RefusalReason.NO_TARGET, RETRY_MILLIS);
		}
		return queue.offer(ticket, drain(pool), nowNanos);
	}

	/**
	 * Takes the tickets that leave the queues now.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the tickets to place and those given up
	 */
	List<ReadyTicket> ready(long nowNanos) {
		List<ReadyTicket> result = new ArrayList<>();
		this.queues.forEach((key, queue) -> {
			if (queue.hasWork()) {
				Pool pool = this.selector.pool(key, nowNanos);
				result.addAll(queue.ready((request) -> canStart(request, queue, nowNanos), drain(pool), nowNanos));
				if (pool.outageNanos(nowNanos) > OUTAGE_WAIT_NANOS) {
					result.addAll(queue.giveUpAll(new Admission.Refused(RefusalReason.NO_TARGET, RETRY_MILLIS)));
				}
			}
		});
		return result;
	}

	int queued() {
		int result = 0;
		for (PoolQueue queue : this.queues.values()) {
			result += queue.queue().size();
		}
		return result;
	}

	void leave(Ticket ticket, Ticket.Stage stage) {
		PoolQueue queue = this.queues.get(ticket.request().pool());
		if (queue != null) {
			queue.leave(ticket, stage);
		}
		ticket.stage(stage);
	}

	/**
	 * Chooses a data centre for a request that was let through, if it had better leave.
	 * @param request the request
	 * @param pool its pool, just viewed
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the data centre's summary, or empty to stay
	 */
	Optional<RegionSummary> away(PolicyRequest request, Pool pool, long nowNanos) {
		PoolQueue queue = this.queues.get(request.pool());
		int admitted = (queue != null) ? queue.admitted() : 0;
		return away(request, pool, waiting(queue), Math.max(0, admitted - 1), nowNanos);
	}

	/**
	 * Sums up the pools that are alive or had requests.
	 * @param region this region
	 * @param dataCentre this data centre
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the summaries
	 */
	List<RegionSummary> summaries(RegionId region, DataCentreId dataCentre, long nowNanos) {
		Set<PoolKey> keys = new HashSet<>(this.queues.keySet());
		keys.addAll(this.selector.livePools(nowNanos));
		List<RegionSummary> result = new ArrayList<>();
		for (PoolKey key : keys) {
			Pool pool = this.selector.pool(key, nowNanos);
			double waiting = waiting(this.queues.get(key)) * (double) sharers();
			int free = (int) Math.max(0, pool.free() - waiting);
			result.add(new RegionSummary(region, dataCentre, key, free, (int) pool.slots(), pool.waitNanos(waiting),
					pool.cheapestPerThousandTokensMicros(), pool.cheapestPerRequestMicros()));
		}
		return result;
	}

	private boolean canStart(PolicyRequest request, PoolQueue queue, long nowNanos) {
		Pool pool = this.selector.pool(request.pool(), nowNanos);
		if (pool.free() - queue.admitted() >= 1) {
			return true;
		}
		return !request.forwarded() && away(request, pool, waiting(queue), queue.admitted(), nowNanos).isPresent();
	}

	private Optional<RegionSummary> away(PolicyRequest request, Pool pool, int waiting, int pending, long nowNanos) {
		return this.sendAway.choose(request, home(request, pool, waiting, pending), sharers(), nowNanos);
	}

	private HomeView home(PolicyRequest request, Pool pool, int waiting, int pending) {
		long waitNanos = pool.waitNanos(waiting * (double) sharers());
		long coldNanos = (request.prefixHash() != 0) ? pool.coldNanos(request.promptTokens()) : 0;
		double tokens = request.promptTokens() + pool.answerTokens();
		double costMicros = pool.cheapestPerRequestMicros()
				+ pool.cheapestPerThousandTokensMicros() * tokens / TOKENS_PER_PRICE;
		return new HomeView(!pool.isEmpty(), waitNanos, (long) costMicros, coldNanos, pool.answerTokens(), pending);
	}

	private PoolQueue.Drain drain(Pool pool) {
		double nanosPerRequest = pool.serviceNanos() / pool.expectedSlots() * sharers();
		return new PoolQueue.Drain(nanosPerRequest, pool.serviceNanos());
	}

	private int sharers() {
		return this.selector.peers() + 1;
	}

	private static int waiting(PoolQueue queue) {
		return (queue != null) ? queue.queue().size() + queue.admitted() : 0;
	}

}
