package org.vanillatrestle.internal.policy;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;
import org.vanillatrestle.Contract;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.Verdict;
import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.admission.LimitGates;
import org.vanillatrestle.internal.cost.CostAccount;
import org.vanillatrestle.internal.limits.AddressedLimitMessage;
import org.vanillatrestle.internal.limits.LimitMessage;
import org.vanillatrestle.internal.limits.LimitParties;
import org.vanillatrestle.internal.limits.LimitShares;
import org.vanillatrestle.internal.request.Admission;
import org.vanillatrestle.internal.request.Attempt;
import org.vanillatrestle.internal.request.AttemptOutcome;
import org.vanillatrestle.internal.request.Placement;
import org.vanillatrestle.internal.request.PolicyRequest;
import org.vanillatrestle.internal.request.ReadyTicket;
import org.vanillatrestle.internal.request.RefusalReason;
import org.vanillatrestle.internal.request.RegionSummary;
import org.vanillatrestle.internal.request.Ticket;
import org.vanillatrestle.internal.retry.RetryPolicy;
import org.vanillatrestle.internal.select.Pool;
import org.vanillatrestle.internal.select.TargetSelector;
import org.vanillatrestle.internal.sendaway.SendAway;
import org.vanillatrestle.internal.target.Announcement;
import org.vanillatrestle.internal.target.TargetRegistry;

/**
 * All decisions on the request path of one entry VM.
 * <p>
 * A request goes through {@link #arrive}, {@link #place}, {@link #dispatched},
 * {@link #firstByte} and {@link #finished}; the last three for each attempt. A ticket is
 * released once by {@link #release}. A request is never placed outside its allowed
 * regions, never on a tried target, and a forwarded one never forwarded again. Not thread
 * safe: owned by the VM's event loop.
 */
public final class RequestPolicy {

	private static final long RETRY_MILLIS = 1_000;

	private static final double SECOND_NANOS = 1e9;

	private final RegionId region;

	private final DataCentreId dataCentre;

	private final LimitShares shares;

	private final LimitGates gates;

	private final TargetSelector selector;

	private final SendAway sendAway;

	private final RetryPolicy retries;

	private final CostAccount costs = new CostAccount();

	private final Dispatcher dispatcher;

	private long limitTickNanos;

	/**
	 * Creates the policy of a VM that has just started.
	 * @param settings the settings
	 * @param region the VM's region
	 * @param dataCentre the VM's data centre
	 * @param self the VM
	 * @param registry the targets of the data centre
	 * @param random the source of random numbers
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public RequestPolicy(PolicySettings settings, RegionId region, DataCentreId dataCentre, VmId self,
			TargetRegistry registry, UniformRandomProvider random, long nowNanos) {
		this.region = region;
		this.dataCentre = dataCentre;
		LimitParties parties = (settings.parties() != null) ? settings.parties()
				: new LimitParties(Map.of(region, List.of(self)));
		this.shares = new LimitShares(self, region, settings.incarnation(), parties, settings.limits(), nowNanos);
		this.gates = new LimitGates(this.shares);
		this.selector = new TargetSelector(settings.select(), registry, random);
		this.sendAway = new SendAway(settings.sendAway(), settings.links(), settings.defaultLink());
		this.dispatcher = new Dispatcher(settings.admission(), this.selector, this.sendAway);
		this.retries = new RetryPolicy(settings.retry(), random);
		this.limitTickNanos = nowNanos;
	}

	/**
	 * Puts a contract in force.
	 * @param contract the contract
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void contractChanged(Contract contract, long nowNanos) {
		this.shares.contractChanged(contract, nowNanos);
	}

	/**
	 * Forgets a customer; tickets that it still has are released as usual.
	 * @param customer the customer
	 */
	public void contractRemoved(CustomerId customer) {
		this.shares.contractRemoved(customer);
		this.sendAway.removed(customer);
		this.retries.removed(customer);
	}

	/**
	 * Asks for, renews and gives back shares of limits; to be called once a second.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the messages to send
	 */
	public List<AddressedLimitMessage> limitTick(long nowNanos) {
		this.gates.demandSeconds((nowNanos - this.limitTickNanos) / SECOND_NANOS);
		this.limitTickNanos = nowNanos;
		return this.shares.tick(this.gates, nowNanos);
	}

	/**
	 * Takes another VM's message on shares of limits.
	 * @param from the sender
	 * @param message the message
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the messages to send in answer
	 */
	public List<AddressedLimitMessage> limitMessage(VmId from, LimitMessage message, long nowNanos) {
		return this.shares.receive(from, message, this.gates, nowNanos);
	}

	/**
	 * Takes another data centre's summary of a pool.
	 * @param summary the summary
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void regionSummary(RegionSummary summary, long nowNanos) {
		if (!summary.dataCentre().equals(this.dataCentre)) {
			this.sendAway.summary(summary, nowNanos);
		}
	}

	/**
	 * Takes what another VM of this data centre holds in flight, replacing its earlier
	 * report.
	 * @param peer the VM
	 * @param inFlight its requests in flight by target
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void peerInFlight(VmId peer, Map<TargetId, Integer> inFlight, long nowNanos) {
		this.selector.peerInFlight(peer, inFlight, nowNanos);
	}

	/**
	 * Returns what this VM holds in flight, for the other VMs of its data centre.
	 * @return requests by target
	 */
	public Map<TargetId, Integer> ownInFlight() {
		return this.selector.ownInFlight();
	}

	/**
	 * Decides on a request that arrived from its caller, or from another VM.
	 * @param request the request
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the answer; after {@code Admitted}, place the request at once
	 */
	public Admission arrive(PolicyRequest request, long nowNanos) {
		if (!request.allowedRegions().contains(this.region)) {
			return new Admission.Refused(RefusalReason.NO_TARGET, RETRY_MILLIS);
		}
		if (!request.forwarded()) {
			Admission.Refused refusal = this.gates.take(request, nowNanos);
			if (refusal != null) {
				return refusal;
			}
			this.sendAway.arrived(request);
		}
		this.retries.arrived(request);
		Admission admission = this.dispatcher.queueOrStart(new Ticket(request, nowNanos), nowNanos);
		if (admission instanceof Admission.Refused && !request.forwarded()) {
			this.gates.end(request, request.countedTokens());
		}
		return admission;
	}

	/**
	 * Decides when a request may be placed again after a failed attempt; its limits stay
	 * taken.
	 * @param ticket the ticket, not released
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the answer, as from {@link #arrive}; after {@code Refused} release the
	 * ticket
	 */
	public Admission again(Ticket ticket, long nowNanos) {
		if (ticket.stage() == Ticket.Stage.RELEASED) {
			return new Admission.Refused(RefusalReason.DEADLINE, RETRY_MILLIS);
		}
		this.dispatcher.leave(ticket, Ticket.Stage.QUEUED);
		return this.dispatcher.queueOrStart(ticket, nowNanos);
	}

	/**
	 * Returns the tickets that leave the queues now; to be called after each end of an
	 * attempt, each announcement and peer report, and every 10 ms while any wait.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the tickets to place and those given up
	 */
	public List<ReadyTicket> ready(long nowNanos) {
		List<ReadyTicket> result = this.dispatcher.ready(nowNanos);
		for (ReadyTicket ready : result) {
			if (ready.refusal().isPresent()) {
				end(ready.ticket(), 0);
			}
		}
		return result;
	}

	/**
	 * Returns how many requests wait.
	 * @return requests in all queues
	 */
	public int queued() {
		return this.dispatcher.queued();
	}

	/**
	 * Decides where the next attempt goes.
	 * @param request the request
	 * @param tried targets that had an attempt of this request
	 * @param mayForward whether it may be sent to another data centre
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the place
	 */
	public Placement place(PolicyRequest request, Set<TargetId> tried, boolean mayForward, long nowNanos) {
		Pool pool = this.selector.pool(request.pool(), nowNanos);
		Optional<Announcement> local = Optional.empty();
		if (request.allowedRegions().contains(this.region)) {
			local = this.selector.choose(pool, request, tried, nowNanos);
		}
		if (mayForward && !request.forwarded()) {
			Optional<RegionSummary> away = this.dispatcher.away(request, pool, nowNanos);
			if (away.isPresent()) {
				return new Placement.Forward(away.get().region(), away.get().dataCentre());
			}
		}
		if (local.isPresent()) {
			return new Placement.Local(local.get());
		}
		return new Placement.None(RefusalReason.NO_TARGET, RETRY_MILLIS);
	}

	/**
	 * Notes that an attempt starts.
	 * @param ticket the request's ticket
	 * @param placement where it goes, not {@code None}
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the attempt
	 */
	public Attempt dispatched(Ticket ticket, Placement placement, long nowNanos) {
		Attempt attempt = new Attempt(ticket, placement, nowNanos);
		if (ticket.stage() != Ticket.Stage.RELEASED) {
			this.dispatcher.leave(ticket, Ticket.Stage.PLACED);
		}
		if (placement instanceof Placement.Local) {
			this.selector.dispatched(attempt, nowNanos);
		}
		if (placement instanceof Placement.Forward forward) {
			double tokens = this.selector.answerTokens(ticket.request().pool());
			long micros = this.sendAway.sent(ticket.request(), forward.dataCentre(), tokens, nowNanos);
			this.costs.addTransfer(ticket.request().customer(), micros);
		}
		return attempt;
	}

	/**
	 * Notes the first byte of an attempt's answer.
	 * @param attempt the attempt
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void firstByte(Attempt attempt, long nowNanos) {
		if (attempt.firstByte(nowNanos) && attempt.placement() instanceof Placement.Local) {
			this.selector.firstByte(attempt, nowNanos);
		}
	}

	/**
	 * Notes the end of an attempt; only its first end counts.
	 * @param attempt the attempt
	 * @param outcome how it ended
	 * @param tokens the tokens of the answer
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void finished(Attempt attempt, AttemptOutcome outcome, long tokens, long nowNanos) {
		if (!attempt.finish()) {
			return;
		}
		PolicyRequest request = attempt.request();
		if (attempt.placement() instanceof Placement.Local local) {
			this.selector.finished(attempt, outcome, tokens, nowNanos);
			this.costs.addTarget(request.customer(),
					CostAccount.targetMicros(local.target().capacity(), request.promptTokens() + tokens));
		}
		if (attempt.placement() instanceof Placement.Forward forward) {
			forwardEnded(request, forward, outcome, nowNanos);
		}
	}

	private void forwardEnded(PolicyRequest request, Placement.Forward forward, AttemptOutcome outcome, long nowNanos) {
		if (outcome == AttemptOutcome.REFUSED) {
			this.sendAway.refused(request.pool(), forward.dataCentre(), nowNanos);
		}
		else if (outcome.speaksAgainstTarget()) {
			this.sendAway.lost(request.pool(), forward.dataCentre());
		}
	}

	/**
	 * Ends a request, answered or not; a caller that left before its ticket was ready
	 * leaves the queue.
	 * @param ticket the ticket
	 * @param usedTokens tokens of prompt and answer that were used
	 */
	public void release(Ticket ticket, long usedTokens) {
		end(ticket, usedTokens);
	}

	private void end(Ticket ticket, long usedTokens) {
		if (ticket.stage() == Ticket.Stage.RELEASED) {
			return;
		}
		PolicyRequest request = ticket.request();
		this.dispatcher.leave(ticket, Ticket.Stage.RELEASED);
		if (!request.forwarded()) {
			this.gates.end(request, request.countedTokens() - usedTokens);
		}
	}

	/**
	 * Decides on another attempt and takes it from the retry budget.
	 * @param request the request
	 * @param verdict the verdict of all attempts so far
	 * @param attempts the attempts so far
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return whether another attempt may be made
	 */
	public boolean mayRetry(PolicyRequest request, Verdict verdict, int attempts, long nowNanos) {
		return this.retries.mayRetry(request, verdict, attempts, nowNanos);
	}

	/**
	 * Returns the pause before the next attempt.
	 * @param attempts the attempts so far
	 * @return nanoseconds
	 */
	public long backoffNanos(int attempts) {
		return this.retries.backoffNanos(attempts);
	}

	/**
	 * Returns how long to wait for an attempt's first byte before giving it up.
	 * @param request the request
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return nanoseconds
	 */
	public long firstByteTimeoutNanos(PolicyRequest request, long nowNanos) {
		long usualNanos = this.selector.firstByteTimeoutNanos(request);
		return Math.max(1, Math.min(usualNanos, request.deadlineNanos() - nowNanos));
	}

	/**
	 * Sums up this data centre's pools, for the other data centres.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the summaries
	 */
	public List<RegionSummary> summaries(long nowNanos) {
		return this.dispatcher.summaries(this.region, this.dataCentre, nowNanos);
	}

	public CostAccount costs() {
		return this.costs;
	}

}
