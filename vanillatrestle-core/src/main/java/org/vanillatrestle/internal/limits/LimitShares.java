package org.vanillatrestle.internal.limits;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.vanillatrestle.Contract;
import org.vanillatrestle.ContractService;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.VmId;

/**
 * One VM's shares of all contracts' limits. Each VM owns a fixed part and lends what it
 * does not need to VMs that ask, for a few seconds at a time.
 * <p>
 * What all VMs may use together never exceeds a contract's limit, whichever links are cut
 * and whichever messages are lost, late or repeated. A VM that has started keeps back
 * what it may have lent before, until every other VM has answered its hello or all such
 * loans have ended. Not thread safe: owned by the VM's event loop.
 */
public final class LimitShares {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final VmId self;

	private final RegionId region;

	private final long incarnation;

	private final LimitParties parties;

	private final LimitSettings settings;

	private final long startedNanos;

	private final Map<Key, ServiceLimits> services = new HashMap<>();

	private final Set<VmId> awaited;

	private long longestDeadlineNanos;

	private int rotation;

	/**
	 * Creates the shares of a VM that has just started.
	 * @param self the VM
	 * @param region its region
	 * @param incarnation a number that is greater at each start
	 * @param parties the VMs that divide limits
	 * @param settings the settings
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public LimitShares(VmId self, RegionId region, long incarnation, LimitParties parties, LimitSettings settings,
			long nowNanos) {
		this.self = self;
		this.region = region;
		this.incarnation = incarnation;
		this.parties = parties;
		this.settings = settings;
		this.startedNanos = nowNanos;
		this.awaited = new HashSet<>(parties.others(region, self));
	}

	/**
	 * Puts a contract in force.
	 * @param contract the contract
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void contractChanged(Contract contract, long nowNanos) {
		Set<ServiceName> names = new HashSet<>();
		for (ContractService service : contract.services()) {
			names.add(service.name());
			long deadlineNanos = service.deadlineMillis() * NANOS_PER_MILLI;
			this.longestDeadlineNanos = Math.max(this.longestDeadlineNanos, deadlineNanos);
			this.services
				.computeIfAbsent(new Key(contract.customer(), service.name()),
						(key) -> new ServiceLimits(key.customer, key.service, this.settings))
				.contract(contract.revision(), this.parties.ownShare(contract, service, this.region, this.self),
						deadlineNanos, nowNanos);
		}
		this.services.keySet()
			.removeIf((key) -> key.customer.equals(contract.customer()) && !names.contains(key.service));
	}

	public void contractRemoved(CustomerId customer) {
		this.services.keySet().removeIf((key) -> key.customer.equals(customer));
	}

	/**
	 * Returns what this VM may use of a service's limits now.
	 * @param customer the customer
	 * @param service the service
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the share
	 */
	public LimitShare share(CustomerId customer, ServiceName service, long nowNanos) {
		ServiceLimits limits = this.services.get(new Key(customer, service));
		return (limits != null) ? limits.usable(guarded(nowNanos), nowNanos) : LimitShare.NONE;
	}

	/**
	 * Asks for, renews and gives back loans; to be called once a second.
	 * @param usage the use of the services' limits
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the messages to send
	 */
	public List<AddressedLimitMessage> tick(LimitUsage usage, long nowNanos) {
		List<AddressedLimitMessage> result = new ArrayList<>();
		boolean guarded = guarded(nowNanos);
		for (VmId other : this.awaited) {
			result.add(new AddressedLimitMessage(other, new LimitMessage.Hello(this.incarnation)));
		}
		List<VmId> others = new ArrayList<>(this.parties.others(this.region, this.self));
		if (!others.isEmpty()) {
			Collections.rotate(others, -(this.rotation % others.size()));
		}
		this.rotation += this.settings.newLendersPerTick();
		this.services.forEach((key, limits) -> {
			limits.demand(usage.demand(key.customer, key.service));
			result.addAll(limits.tick(guarded, usage.inFlight(key.customer, key.service), others, this.incarnation,
					nowNanos));
		});
		return result;
	}

	/**
	 * Takes another VM's message.
	 * @param from the sender
	 * @param message the message
	 * @param usage the use of the services' limits
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the messages to send in answer
	 */
	public List<AddressedLimitMessage> receive(VmId from, LimitMessage message, LimitUsage usage, long nowNanos) {
		if (message instanceof LimitMessage.LoanRequest request) {
			return lend(from, request, usage, nowNanos);
		}
		if (message instanceof LimitMessage.LoanAnswer answer) {
			ServiceLimits limits = this.services.get(new Key(answer.customer(), answer.service()));
			if (limits != null && answer.incarnation() == this.incarnation) {
				limits.answered(from, answer, nowNanos);
			}
			return List.of();
		}
		if (message instanceof LimitMessage.Hello hello) {
			return greet(from, hello, usage, nowNanos);
		}
		if (((LimitMessage.HelloAnswer) message).incarnation() == this.incarnation) {
			this.awaited.remove(from);
			this.services.values().forEach(ServiceLimits::changed);
		}
		return List.of();
	}

	private List<AddressedLimitMessage> lend(VmId from, LimitMessage.LoanRequest request, LimitUsage usage,
			long nowNanos) {
		ServiceLimits limits = this.services.get(new Key(request.customer(), request.service()));
		if (limits == null) {
			return List.of();
		}
		LimitMessage.LoanAnswer answer = limits.lend(from, request, guarded(nowNanos),
				usage.inFlight(request.customer(), request.service()), nowNanos);
		return (answer != null) ? List.of(new AddressedLimitMessage(from, answer)) : List.of();
	}

	private List<AddressedLimitMessage> greet(VmId from, LimitMessage.Hello hello, LimitUsage usage, long nowNanos) {
		boolean free = true;
		for (Map.Entry<Key, ServiceLimits> entry : this.services.entrySet()) {
			Key key = entry.getKey();
			free &= entry.getValue().drop(from, usage.inFlight(key.customer, key.service), nowNanos);
		}
		if (!free) {
			return List.of();
		}
		return List.of(new AddressedLimitMessage(from, new LimitMessage.HelloAnswer(hello.incarnation())));
	}

	private boolean guarded(long nowNanos) {
		if (this.awaited.isEmpty()) {
			return false;
		}
		long guardNanos = this.settings.guardNanos() + this.settings.longer(this.longestDeadlineNanos);
		if (nowNanos - this.startedNanos < guardNanos) {
			return true;
		}
		this.awaited.clear();
		return false;
	}

	private record Key(CustomerId customer, ServiceName service) {

	}

}
