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
 * One VM's shares of the limits of all contracts. Each VM owns a fixed part of a limit,
 * and lends what it does not need, for a few seconds at a time, to VMs that request a
 * loan.
 * <p>
 * The shares that all VMs may use at the same time never exceed a contract's limit in
 * total, whichever links fail and whichever messages are lost, delayed or duplicated. A
 * VM that has just started is recovering: it does not use the part of its share that it
 * may have lent before, until every other VM has answered its {@link LimitMessage.Hello}
 * or all such loans have ended. Not thread safe: owned by the VM's event loop.
 */
public final class LimitShares {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final VmId self;

	private final RegionId region;

	private final long incarnation;

	private final LimitMembers members;

	private final LimitSettings settings;

	private final long startedNanos;

	private final Map<ServiceKey, ServiceLimits> services = new HashMap<>();

	private final Set<VmId> vmsYetToAnswerHello;

	private long longestDeadlineNanos;

	private int lenderOffset;

	/**
	 * Creates the shares of a VM that has just started.
	 * @param self the VM
	 * @param region its region
	 * @param incarnation a number that grows with each start of the VM
	 * @param members the VMs among which limits are divided
	 * @param settings the settings of the loans
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public LimitShares(VmId self, RegionId region, long incarnation, LimitMembers members, LimitSettings settings,
			long nowNanos) {
		this.self = self;
		this.region = region;
		this.incarnation = incarnation;
		this.members = members;
		this.settings = settings;
		this.startedNanos = nowNanos;
		this.vmsYetToAnswerHello = new HashSet<>(members.otherVms(region, self));
	}

	/**
	 * Applies a new contract or a new revision of a contract.
	 * @param contract the contract
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void applyContract(Contract contract, long nowNanos) {
		Set<ServiceName> serviceNames = new HashSet<>();
		for (ContractService service : contract.services()) {
			serviceNames.add(service.name());
			long deadlineNanos = service.deadlineMillis() * NANOS_PER_MILLI;
			this.longestDeadlineNanos = Math.max(this.longestDeadlineNanos, deadlineNanos);
			this.services
				.computeIfAbsent(new ServiceKey(contract.customer(), service.name()),
						(key) -> new ServiceLimits(key.customer, key.service, this.settings))
				.applyContract(contract.revision(), this.members.ownShare(contract, service, this.region, this.self),
						deadlineNanos, nowNanos);
		}
		this.services.keySet()
			.removeIf((key) -> key.customer.equals(contract.customer()) && !serviceNames.contains(key.service));
	}

	public void removeContract(CustomerId customer) {
		this.services.keySet().removeIf((key) -> key.customer.equals(customer));
	}

	/**
	 * Returns the share of a service's limits that this VM may use now.
	 * @param customer the customer
	 * @param service the service
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the share
	 */
	public LimitShare share(CustomerId customer, ServiceName service, long nowNanos) {
		ServiceLimits limits = this.services.get(new ServiceKey(customer, service));
		return (limits != null) ? limits.usable(isRecovering(nowNanos), nowNanos) : LimitShare.NONE;
	}

	/**
	 * Prepares the messages that request, renew and give back loans. Must be called once
	 * a second.
	 * @param usage this VM's use of the services' limits
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the messages to send
	 */
	public List<AddressedLimitMessage> tick(LimitUsage usage, long nowNanos) {
		List<AddressedLimitMessage> result = new ArrayList<>();
		boolean recovering = isRecovering(nowNanos);
		for (VmId other : this.vmsYetToAnswerHello) {
			result.add(new AddressedLimitMessage(other, new LimitMessage.Hello(this.incarnation)));
		}
		List<VmId> others = new ArrayList<>(this.members.otherVms(this.region, this.self));
		if (!others.isEmpty()) {
			Collections.rotate(others, -(this.lenderOffset % others.size()));
		}
		this.lenderOffset += this.settings.newLendersPerTick();
		this.services.forEach((key, limits) -> {
			limits.recordDemand(usage.demand(key.customer, key.service));
			result.addAll(limits.tick(recovering, usage.inFlight(key.customer, key.service), others, this.incarnation,
					nowNanos));
		});
		return result;
	}

	/**
	 * Handles a message from another VM.
	 * @param from the sender
	 * @param message the message
	 * @param usage this VM's use of the services' limits
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the messages to send in answer
	 */
	public List<AddressedLimitMessage> receive(VmId from, LimitMessage message, LimitUsage usage, long nowNanos) {
		if (message instanceof LimitMessage.LoanRequest request) {
			return answerLoanRequest(from, request, usage, nowNanos);
		}
		if (message instanceof LimitMessage.LoanAnswer answer) {
			ServiceLimits limits = this.services.get(new ServiceKey(answer.customer(), answer.service()));
			if (limits != null && answer.incarnation() == this.incarnation) {
				limits.applyAnswer(from, answer, nowNanos);
			}
			return List.of();
		}
		if (message instanceof LimitMessage.Hello hello) {
			return answerHello(from, hello, usage, nowNanos);
		}
		if (((LimitMessage.HelloAnswer) message).incarnation() == this.incarnation) {
			this.vmsYetToAnswerHello.remove(from);
			this.services.values().forEach(ServiceLimits::invalidateCache);
		}
		return List.of();
	}

	private List<AddressedLimitMessage> answerLoanRequest(VmId from, LimitMessage.LoanRequest request, LimitUsage usage,
			long nowNanos) {
		ServiceLimits limits = this.services.get(new ServiceKey(request.customer(), request.service()));
		if (limits == null) {
			return List.of();
		}
		LimitMessage.LoanAnswer answer = limits.lend(from, request, isRecovering(nowNanos),
				usage.inFlight(request.customer(), request.service()), nowNanos);
		return (answer != null) ? List.of(new AddressedLimitMessage(from, answer)) : List.of();
	}

	private List<AddressedLimitMessage> answerHello(VmId from, LimitMessage.Hello hello, LimitUsage usage,
			long nowNanos) {
		boolean unused = true;
		for (Map.Entry<ServiceKey, ServiceLimits> entry : this.services.entrySet()) {
			ServiceKey key = entry.getKey();
			unused &= entry.getValue().stopUsing(from, usage.inFlight(key.customer, key.service), nowNanos);
		}
		if (!unused) {
			return List.of();
		}
		return List.of(new AddressedLimitMessage(from, new LimitMessage.HelloAnswer(hello.incarnation())));
	}

	private boolean isRecovering(long nowNanos) {
		if (this.vmsYetToAnswerHello.isEmpty()) {
			return false;
		}
		long recoveryNanos = this.settings.lenderLoanDurationNanos()
				+ this.settings.withClockDriftMargin(this.longestDeadlineNanos);
		if (nowNanos - this.startedNanos < recoveryNanos) {
			return true;
		}
		this.vmsYetToAnswerHello.clear();
		return false;
	}

	private record ServiceKey(CustomerId customer, ServiceName service) {

	}

}
