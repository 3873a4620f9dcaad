package org.vanillatrestle.internal.policy;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;
import org.vanillatrestle.Contract;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.Verdict;
import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.admission.ServiceLimiters;
import org.vanillatrestle.internal.cost.CostAccount;
import org.vanillatrestle.internal.limits.AddressedLimitMessage;
import org.vanillatrestle.internal.limits.LimitMembers;
import org.vanillatrestle.internal.limits.LimitMessage;
import org.vanillatrestle.internal.limits.LimitShares;
import org.vanillatrestle.internal.request.Admission;
import org.vanillatrestle.internal.request.Attempt;
import org.vanillatrestle.internal.request.AttemptOutcome;
import org.vanillatrestle.internal.request.DequeuedTicket;
import org.vanillatrestle.internal.request.Placement;
import org.vanillatrestle.internal.request.PolicyRequest;
import org.vanillatrestle.internal.request.PoolSummary;
import org.vanillatrestle.internal.request.RefusalReason;
import org.vanillatrestle.internal.request.Ticket;
import org.vanillatrestle.internal.retry.RetryPolicy;
import org.vanillatrestle.internal.select.TargetSelector;
import org.vanillatrestle.internal.sendaway.ForwardingPolicy;
import org.vanillatrestle.internal.target.TargetRegistry;

/**
 * Makes all decisions on the request path of one entry VM: admission, placement, retries
 * and forwarding to other data centres.
 * <p>
 * For each request the caller calls {@link #admit} and {@link #choosePlacement}, then
 * {@link #attemptStarted}, {@link #firstByteReceived} and {@link #attemptFinished} for
 * each attempt, and finally {@link #release} once for the ticket. A request is never
 * placed outside its allowed regions or on a target that it has already tried, and a
 * forwarded request is never forwarded again. Not thread safe: confined to the VM's event
 * loop.
 */
public final class RequestPolicy {

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private static final double NANOS_PER_SECOND = 1e9;

	private final RegionId region;

	private final DataCentreId dataCentre;

	private final LimitShares shares;

	private final ServiceLimiters limiters;

	private final TargetSelector selector;

	private final ForwardingPolicy forwarding;

	private final RetryPolicy retries;

	private final CostAccount costs = new CostAccount();

	private final Dispatcher dispatcher;

	private final PlacementChooser placements;

	private long lastLimitTickNanos;

	/**
	 * Creates the policy of a VM that has just started.
	 * @param settings the settings
	 * @param region the VM's region
	 * @param dataCentre the VM's data centre
	 * @param self the VM's id
	 * @param registry the registry of the data centre's targets
	 * @param random the random number generator
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public RequestPolicy(PolicySettings settings, RegionId region, DataCentreId dataCentre, VmId self,
			TargetRegistry registry, UniformRandomProvider random, long nowNanos) {
		this.region = region;
		this.dataCentre = dataCentre;
		LimitMembers limitMembers = (settings.limitMembers() != null) ? settings.limitMembers()
				: new LimitMembers(Map.of(region, List.of(self)));
		this.shares = new LimitShares(self, region, settings.incarnation(), limitMembers, settings.limits(), nowNanos);
		this.limiters = new ServiceLimiters(this.shares);
		this.selector = new TargetSelector(settings.selection(), registry, random);
		this.forwarding = new ForwardingPolicy(settings.forwarding(), settings.links(), settings.defaultLink());
		this.dispatcher = new Dispatcher(settings.admission(), this.selector, this.forwarding);
		this.placements = new PlacementChooser(region, this.selector, this.dispatcher);
		this.retries = new RetryPolicy(settings.retry(), random);
		this.lastLimitTickNanos = nowNanos;
	}

	/**
	 * Applies a new or changed contract.
	 * @param contract the contract
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void contractChanged(Contract contract, long nowNanos) {
		this.shares.applyContract(contract, nowNanos);
	}

	/**
	 * Removes a customer. Its open tickets must still be released.
	 * @param customer the customer
	 */
	public void contractRemoved(CustomerId customer) {
		this.shares.removeContract(customer);
		this.forwarding.removeCustomer(customer);
		this.retries.removeCustomer(customer);
	}

	/**
	 * Prepares the messages that request, renew and give back loans of contract limit
	 * shares. Must be called once per second.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the messages to send
	 */
	public List<AddressedLimitMessage> renewLimitShares(long nowNanos) {
		this.limiters.demandPeriodSeconds((nowNanos - this.lastLimitTickNanos) / NANOS_PER_SECOND);
		this.lastLimitTickNanos = nowNanos;
		return this.shares.tick(this.limiters, nowNanos);
	}

	/**
	 * Handles another VM's message about shares of contract limits.
	 * @param from the VM that sent the message
	 * @param message the message
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the messages to send in reply
	 */
	public List<AddressedLimitMessage> receiveLimitMessage(VmId from, LimitMessage message, long nowNanos) {
		return this.shares.receive(from, message, this.limiters, nowNanos);
	}

	/**
	 * Stores another data centre's summary of a pool; ignores this data centre's own.
	 * @param summary the summary
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void updateRegionSummary(PoolSummary summary, long nowNanos) {
		if (!summary.dataCentre().equals(this.dataCentre)) {
			this.forwarding.updateSummary(summary, nowNanos);
		}
	}

	/**
	 * Stores the requests in flight reported by another VM of this data centre, replacing
	 * its previous report.
	 * @param peer the other VM
	 * @param inFlight the number of its requests in flight by target
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void updatePeerInFlight(VmId peer, Map<TargetId, Integer> inFlight, long nowNanos) {
		this.selector.recordPeerInFlight(peer, inFlight, nowNanos);
	}

	/**
	 * Returns this VM's requests in flight, for the other VMs of its data centre.
	 * @return the number of requests in flight by target
	 */
	public Map<TargetId, Integer> ownInFlight() {
		return this.selector.ownInFlight();
	}

	/**
	 * Admits, queues or refuses a request that arrived from its caller or was forwarded
	 * by another VM.
	 * @param request the request
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the decision; a request that is {@code Admitted} must be placed immediately
	 */
	public Admission admit(PolicyRequest request, long nowNanos) {
		if (!request.allowedRegions().contains(this.region)) {
			return new Admission.Refused(RefusalReason.NO_TARGET, RETRY_AFTER_MILLIS);
		}
		if (!request.isForwarded()) {
			Admission.Refused refusal = this.limiters.acquire(request, nowNanos);
			if (refusal != null) {
				return refusal;
			}
			this.forwarding.requestArrived(request);
		}
		Admission admission = this.dispatcher.admitOrQueue(new Ticket(request, nowNanos), nowNanos);
		if (admission instanceof Admission.Refused && !request.isForwarded()) {
			this.limiters.release(request, request.countedTokens());
		}
		return admission;
	}

	/**
	 * Admits, queues or refuses another attempt of a request after a failed attempt. The
	 * request still counts against its contract's limits.
	 * @param ticket the request's ticket, not yet released
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the decision, as for {@link #admit}; the caller must release the ticket of
	 * a request that is {@code Refused}
	 */
	public Admission readmit(Ticket ticket, long nowNanos) {
		if (ticket.stage() == Ticket.Stage.RELEASED) {
			return new Admission.Refused(RefusalReason.DEADLINE, RETRY_AFTER_MILLIS);
		}
		this.dispatcher.moveToStage(ticket, Ticket.Stage.QUEUED);
		return this.dispatcher.admitOrQueue(ticket, nowNanos);
	}

	/**
	 * Removes and returns the tickets that leave the queues now. Must be called after
	 * each end of an attempt, each target announcement and each peer report, and every 10
	 * ms while requests are queued.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the tickets to place, and those refused, which are already released
	 */
	public List<DequeuedTicket> pollReady(long nowNanos) {
		List<DequeuedTicket> result = this.dispatcher.pollReady(nowNanos);
		for (DequeuedTicket ready : result) {
			if (ready.refusal().isPresent()) {
				release(ready.ticket(), 0);
			}
		}
		return result;
	}

	/**
	 * Returns the number of queued requests.
	 * @return the number of requests in the queues of all pools
	 */
	public int queuedCount() {
		return this.dispatcher.queuedCount();
	}

	/**
	 * Chooses the target or data centre for the next attempt of a request.
	 * @param request the request
	 * @param tried the targets that this request has already been sent to
	 * @param mayForward whether the request may be forwarded to another data centre
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the placement
	 */
	public Placement choosePlacement(PolicyRequest request, Set<TargetId> tried, boolean mayForward, long nowNanos) {
		return this.placements.choose(request, tried, mayForward, nowNanos);
	}

	/**
	 * Chooses the target or data centre for the rest of an answer that has begun.
	 * @param request the request
	 * @param tried the targets that this request has already been sent to
	 * @param mayForward whether the request may be forwarded to another data centre
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the placement
	 */
	public Placement choosePlacementForRest(PolicyRequest request, Set<TargetId> tried, boolean mayForward,
			long nowNanos) {
		return this.placements.chooseForRest(request, tried, mayForward, nowNanos);
	}

	/**
	 * Returns whether an attempt could start now, beside the requests already admitted.
	 * @param ticket the request's ticket
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return {@code true} if so
	 */
	public boolean hasFreePlace(Ticket ticket, long nowNanos) {
		return this.dispatcher.canStart(ticket.request(), nowNanos);
	}

	/**
	 * Records the start of an attempt.
	 * @param ticket the request's ticket
	 * @param placement where the attempt is sent; not {@code None}
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the attempt
	 */
	public Attempt attemptStarted(Ticket ticket, Placement placement, long nowNanos) {
		Attempt attempt = new Attempt(ticket, placement, nowNanos);
		if (ticket.stage() != Ticket.Stage.RELEASED) {
			this.dispatcher.moveToStage(ticket, Ticket.Stage.PLACED);
		}
		if (placement instanceof Placement.Local) {
			this.selector.recordDispatch(attempt, nowNanos);
		}
		if (ticket.markAttempted() && placement instanceof Placement.Local) {
			this.retries.requestDispatched(ticket.request());
		}
		if (placement instanceof Placement.Forward forward) {
			double tokens = this.selector.meanAnswerTokens(ticket.request().pool());
			long micros = this.forwarding.requestForwarded(ticket.request(), forward.dataCentre(), tokens, nowNanos);
			this.costs.addTransfer(ticket.request().customer(), micros);
		}
		return attempt;
	}

	/**
	 * Records the arrival of the first byte of an attempt's response.
	 * @param attempt the attempt
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void firstByteReceived(Attempt attempt, long nowNanos) {
		if (attempt.recordFirstByte(nowNanos) && attempt.placement() instanceof Placement.Local) {
			this.selector.recordFirstByte(attempt, nowNanos);
		}
	}

	/**
	 * Records the end of an attempt. Later calls for the same attempt are ignored.
	 * @param attempt the attempt
	 * @param outcome the outcome of the attempt
	 * @param tokens the number of tokens in the response
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void attemptFinished(Attempt attempt, AttemptOutcome outcome, long tokens, long nowNanos) {
		if (!attempt.finish()) {
			return;
		}
		PolicyRequest request = attempt.request();
		if (attempt.placement() instanceof Placement.Local local) {
			this.selector.recordEnd(attempt, outcome, tokens, nowNanos);
			this.costs.addTarget(request.customer(),
					CostAccount.targetMicros(local.target().capacity(), request.promptTokens() + tokens));
		}
		if (attempt.placement() instanceof Placement.Forward forward) {
			forwardEnded(request, forward, outcome, nowNanos);
		}
	}

	private void forwardEnded(PolicyRequest request, Placement.Forward forward, AttemptOutcome outcome, long nowNanos) {
		if (outcome == AttemptOutcome.REFUSED) {
			this.forwarding.requestRefused(request.pool(), forward.dataCentre(), nowNanos);
		}
		else if (outcome.isTargetFailure()) {
			this.forwarding.markUnreachable(request.pool(), forward.dataCentre());
		}
	}

	/**
	 * Ends a request, whether or not it was answered. A request that is still queued, for
	 * example because its caller disconnected, is removed from its queue.
	 * @param ticket the request's ticket
	 * @param usedTokens the number of prompt and response tokens that were used; the rest
	 * of the request's counted tokens is returned to the token limit
	 */
	public void release(Ticket ticket, long usedTokens) {
		if (ticket.stage() == Ticket.Stage.RELEASED) {
			return;
		}
		PolicyRequest request = ticket.request();
		this.dispatcher.moveToStage(ticket, Ticket.Stage.RELEASED);
		if (!request.isForwarded()) {
			this.limiters.release(request, request.countedTokens() - usedTokens);
		}
	}

	/**
	 * Takes a retry from the budget for a request whose answer has not begun.
	 * @param request the request
	 * @param verdict the combined verdict of all attempts so far
	 * @param attempts the number of attempts so far, without the sender's
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return {@code true} if the request may be retried
	 */
	public boolean tryAcquireRetry(PolicyRequest request, Verdict verdict, int attempts, long nowNanos) {
		return this.retries.acquireRetry(request, verdict, attempts, false, nowNanos).isEmpty();
	}

	/**
	 * Returns the timeout for the first byte of an attempt's response. It ends no later
	 * than the request's deadline and is at least 1 ns.
	 * @param request the request
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the timeout in nanoseconds
	 */
	public long firstByteTimeoutNanos(PolicyRequest request, long nowNanos) {
		long typicalNanos = this.selector.firstByteTimeoutNanos(request);
		return Math.max(1, Math.min(typicalNanos, request.deadlineNanos() - nowNanos));
	}

	/**
	 * Summarises this data centre's pools for the other data centres.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return one summary per pool
	 */
	public List<PoolSummary> summaries(long nowNanos) {
		return this.dispatcher.summaries(this.region, this.dataCentre, nowNanos);
	}

	public RetryPolicy retries() {
		return this.retries;
	}

	public CostAccount costs() {
		return this.costs;
	}

}
