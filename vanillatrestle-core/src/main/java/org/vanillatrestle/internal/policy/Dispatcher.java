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
import org.vanillatrestle.internal.request.DequeuedTicket;
import org.vanillatrestle.internal.request.PolicyRequest;
import org.vanillatrestle.internal.request.PoolKey;
import org.vanillatrestle.internal.request.PoolSummary;
import org.vanillatrestle.internal.request.RefusalReason;
import org.vanillatrestle.internal.request.Ticket;
import org.vanillatrestle.internal.select.Pool;
import org.vanillatrestle.internal.select.TargetSelector;
import org.vanillatrestle.internal.sendaway.ForwardingPolicy;
import org.vanillatrestle.internal.sendaway.LocalEstimate;

/**
 * Queues the requests of each pool until a target of this data centre, or another data
 * centre, can start them.
 * <p>
 * An admitted request reserves a slot of its pool until it is placed or released. Not
 * thread safe: confined to the VM's event loop.
 */
final class Dispatcher {

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private static final long MAX_OUTAGE_WAIT_NANOS = 2_000_000_000;

	private static final double TOKENS_PER_PRICE_UNIT = 1_000;

	private final AdmissionSettings settings;

	private final TargetSelector selector;

	private final ForwardingPolicy forwarding;

	private final Map<PoolKey, PoolQueue> queues = new HashMap<>();

	Dispatcher(AdmissionSettings settings, TargetSelector selector, ForwardingPolicy forwarding) {
		this.settings = settings;
		this.selector = selector;
		this.forwarding = forwarding;
	}

	/**
	 * Admits, queues or refuses a request.
	 * <p>
	 * The rest of a stream that another VM has begun is always admitted. Any other
	 * request that cannot start immediately is refused if its pool has never had a
	 * target, or has had no reachable target for longer than
	 * {@link #MAX_OUTAGE_WAIT_NANOS}.
	 * @param ticket the request's ticket
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the decision
	 */
	Admission admitOrQueue(Ticket ticket, long nowNanos) {
		PolicyRequest request = ticket.request();
		Pool pool = this.selector.pool(request.pool(), nowNanos);
		PoolQueue queue = this.queues.computeIfAbsent(request.pool(), (key) -> new PoolQueue(this.settings));
		boolean startable = queue.queue().isEmpty() && canStart(request, queue, nowNanos);
		if (startable || request.isBegunAtSender()) {
			queue.admit(ticket);
			return new Admission.Admitted(ticket);
		}
		if (!pool.hasHadTargets() || pool.outageNanos(nowNanos) > MAX_OUTAGE_WAIT_NANOS) {
			return new Admission.Refused(RefusalReason.NO_TARGET, RETRY_AFTER_MILLIS);
		}
		return queue.offer(ticket, drainRate(pool), nowNanos);
	}

	/**
	 * Removes and returns the tickets that leave the queues now.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the tickets to place and the tickets whose requests are refused
	 */
	List<DequeuedTicket> pollReady(long nowNanos) {
		List<DequeuedTicket> result = new ArrayList<>();
		this.queues.forEach((key, queue) -> {
			if (queue.hasWork()) {
				Pool pool = this.selector.pool(key, nowNanos);
				result.addAll(
						queue.pollReady((request) -> canStart(request, queue, nowNanos), drainRate(pool), nowNanos));
				if (pool.outageNanos(nowNanos) > MAX_OUTAGE_WAIT_NANOS) {
					result.addAll(queue.refuseAll(new Admission.Refused(RefusalReason.NO_TARGET, RETRY_AFTER_MILLIS)));
				}
			}
		});
		return result;
	}

	int queuedCount() {
		int result = 0;
		for (PoolQueue queue : this.queues.values()) {
			result += queue.queue().size();
		}
		return result;
	}

	void moveToStage(Ticket ticket, Ticket.Stage stage) {
		PoolQueue queue = this.queues.get(ticket.request().pool());
		if (queue != null) {
			queue.moveToStage(ticket, stage);
		}
		ticket.stage(stage);
	}

	/**
	 * Chooses another data centre for an admitted request, if forwarding is expected to
	 * be better than serving it in this data centre.
	 * @param request the request
	 * @param pool the request's pool, refreshed at {@code nowNanos}
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the summary of the chosen data centre's pool, or empty to serve the request
	 * in this data centre
	 */
	Optional<PoolSummary> chooseRemote(PolicyRequest request, Pool pool, long nowNanos) {
		PoolQueue queue = this.queues.get(request.pool());
		int admitted = (queue != null) ? queue.admittedCount() : 0;
		return chooseRemote(request, pool, unplacedCount(queue), Math.max(0, admitted - 1), nowNanos);
	}

	/**
	 * Chooses another data centre with a free slot for the rest of an answer that no
	 * untried target of this data centre can continue.
	 * @param request the request
	 * @param pool the request's pool, refreshed at {@code nowNanos}
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the summary of the chosen data centre's pool, or empty if there is none
	 */
	Optional<PoolSummary> chooseRemoteForRest(PolicyRequest request, Pool pool, long nowNanos) {
		LocalEstimate none = new LocalEstimate(false, 0, 0, 0, pool.meanAnswerTokens(), 0);
		return this.forwarding.chooseDataCentre(request, none, sharingVms(), nowNanos);
	}

	/**
	 * Summarises every pool that has live targets or has received requests.
	 * @param region the region of this VM
	 * @param dataCentre the data centre of this VM
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return one summary per pool
	 */
	List<PoolSummary> summaries(RegionId region, DataCentreId dataCentre, long nowNanos) {
		Set<PoolKey> keys = new HashSet<>(this.queues.keySet());
		keys.addAll(this.selector.livePools(nowNanos));
		List<PoolSummary> result = new ArrayList<>();
		for (PoolKey key : keys) {
			Pool pool = this.selector.pool(key, nowNanos);
			double unplacedOfAllVms = unplacedCount(this.queues.get(key)) * (double) sharingVms();
			int free = (int) Math.max(0, pool.freeSlots() - unplacedOfAllVms);
			result.add(
					new PoolSummary(region, dataCentre, key, free, (int) pool.slots(), pool.waitNanos(unplacedOfAllVms),
							pool.cheapestPricePerThousandTokensMicros(), pool.cheapestPricePerRequestMicros()));
		}
		return result;
	}

	/**
	 * Returns whether a request could start now, beside the requests already admitted and
	 * before those that are queued.
	 * @param request the request
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return whether a target of this or another data centre has a free slot
	 */
	boolean canStart(PolicyRequest request, long nowNanos) {
		PoolQueue queue = this.queues.computeIfAbsent(request.pool(), (key) -> new PoolQueue(this.settings));
		return canStart(request, queue, nowNanos);
	}

	private boolean canStart(PolicyRequest request, PoolQueue queue, long nowNanos) {
		Pool pool = this.selector.pool(request.pool(), nowNanos);
		if (pool.freeSlots() - queue.admittedCount() >= 1) {
			return true;
		}
		return !request.isForwarded()
				&& chooseRemote(request, pool, unplacedCount(queue), queue.admittedCount(), nowNanos).isPresent();
	}

	private Optional<PoolSummary> chooseRemote(PolicyRequest request, Pool pool, int unplacedRequests,
			int pendingRequests, long nowNanos) {
		return this.forwarding.chooseDataCentre(request,
				localEstimate(request, pool, unplacedRequests, pendingRequests), sharingVms(), nowNanos);
	}

	private LocalEstimate localEstimate(PolicyRequest request, Pool pool, int unplacedRequests, int pendingRequests) {
		long waitNanos = pool.waitNanos(unplacedRequests * (double) sharingVms());
		long cacheMissNanos = (request.prefixHash() != 0) ? pool.cacheMissPenaltyNanos(request.promptTokens()) : 0;
		double tokens = request.promptTokens() + pool.meanAnswerTokens();
		double costMicros = pool.cheapestPricePerRequestMicros()
				+ pool.cheapestPricePerThousandTokensMicros() * tokens / TOKENS_PER_PRICE_UNIT;
		return new LocalEstimate(!pool.isEmpty(), waitNanos, (long) costMicros, cacheMissNanos, pool.meanAnswerTokens(),
				pendingRequests);
	}

	private PoolQueue.DrainRate drainRate(Pool pool) {
		double nanosPerRequest = pool.serviceTimeNanos() / pool.expectedSlots() * sharingVms();
		return new PoolQueue.DrainRate(nanosPerRequest, pool.serviceTimeNanos());
	}

	private int sharingVms() {
		return this.selector.peerCount() + 1;
	}

	private static int unplacedCount(PoolQueue queue) {
		return (queue != null) ? queue.queue().size() + queue.admittedCount() : 0;
	}

}
