package org.vanillatrestle.internal.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import org.vanillatrestle.Contract;
import org.vanillatrestle.ContractService;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.ServiceKind;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.VmId;

/**
 * Simulates VMs of three regions that share one contract's limits. If links are
 * unreliable, messages may be lost, delayed, duplicated and reordered. Each VM's clock
 * runs at its own rate. Not thread safe.
 */
final class LimitSimulation {

	static final long SECOND_NANOS = 1_000_000_000L;

	static final long REQUESTS_PER_SECOND = 120;

	static final long IN_FLIGHT = 40;

	static final long DEADLINE_MILLIS = 3_000;

	private static final CustomerId CUSTOMER = new CustomerId("dossieria");

	private static final ServiceName SERVICE = new ServiceName("drafts");

	private static final List<String> REGIONS = List.of("frankfurt", "sanjose", "virginia");

	private final Random random;

	private final int vmsPerRegion;

	private final LimitMembers members;

	private final Contract contract;

	private final Map<VmId, Vm> vms = new TreeMap<>();

	private final List<Delivery> deliveries = new ArrayList<>();

	private final Set<String> cutLinks = new HashSet<>();

	private final boolean unreliableLinks;

	private long nowNanos = SECOND_NANOS;

	LimitSimulation(long seed, int vmsPerRegion, boolean unreliableLinks) {
		this.random = new Random(seed);
		this.vmsPerRegion = vmsPerRegion;
		this.unreliableLinks = unreliableLinks;
		Map<RegionId, List<VmId>> vmsByRegion = new HashMap<>();
		for (String region : REGIONS) {
			List<VmId> regionVms = new ArrayList<>();
			for (int i = 0; i < vmsPerRegion; i++) {
				regionVms.add(new VmId(region + "-" + i));
			}
			vmsByRegion.put(new RegionId(region), regionVms);
		}
		this.members = new LimitMembers(vmsByRegion);
		ContractService service = ContractService.builder(SERVICE, ServiceKind.MODEL)
			.maxRequestsPerSecond(REQUESTS_PER_SECOND)
			.maxTokensPerSecond(REQUESTS_PER_SECOND * 100)
			.maxInFlight((int) IN_FLIGHT)
			.deadlineMillis(DEADLINE_MILLIS)
			.build();
		this.contract = Contract.builder(CUSTOMER, 1)
			.allowedRegions(vmsByRegion.keySet())
			.services(List.of(service))
			.build();
		vmsByRegion
			.forEach((region, regionVms) -> regionVms.forEach((vmId) -> this.vms.put(vmId, new Vm(vmId, region))));
		this.vms.values().forEach(Vm::start);
	}

	Random random() {
		return this.random;
	}

	List<VmId> vmIds() {
		return List.copyOf(this.vms.keySet());
	}

	/**
	 * Cuts or restores the link between two regions. Messages sent over a cut link are
	 * lost.
	 * @param firstRegion the index of one region
	 * @param secondRegion the index of the other region
	 * @param isCut whether to cut the link or restore it
	 */
	void setLinkCut(int firstRegion, int secondRegion, boolean isCut) {
		String pair = pair(REGIONS.get(firstRegion), REGIONS.get(secondRegion));
		if (isCut) {
			this.cutLinks.add(pair);
		}
		else {
			this.cutLinks.remove(pair);
		}
	}

	void restart(VmId vm) {
		this.vms.get(vm).start();
	}

	void setDemand(VmId vm, double requestsPerSecond, long inFlight) {
		this.vms.get(vm).demandPerSecond = requestsPerSecond;
		this.vms.get(vm).wantedInFlight = inFlight;
	}

	void run(long nanos) {
		long endNanos = this.nowNanos + nanos;
		while (this.nowNanos < endNanos) {
			this.nowNanos += SECOND_NANOS / 20;
			deliver();
			this.vms.values().forEach(Vm::step);
		}
	}

	long usableMilliRequests() {
		return this.vms.values().stream().mapToLong((vm) -> vm.share().milliRequestsPerSecond()).sum();
	}

	long usableTokens() {
		return this.vms.values().stream().mapToLong((vm) -> vm.share().tokensPerSecond()).sum();
	}

	long inFlight() {
		return this.vms.values().stream().mapToLong((vm) -> vm.requestEndsNanos.size()).sum();
	}

	double servedPerSecond() {
		return this.vms.values()
			.stream()
			.mapToDouble((vm) -> Math.min(vm.demandPerSecond, vm.share().milliRequestsPerSecond() / 1_000.0))
			.sum();
	}

	private void deliver() {
		List<Delivery> due = new ArrayList<>(this.deliveries);
		due.removeIf((delivery) -> delivery.deliveryNanos > this.nowNanos);
		this.deliveries.removeAll(due);
		for (Delivery delivery : due) {
			Vm to = this.vms.get(delivery.to);
			to.send(to.shares.receive(delivery.from, delivery.message, to, to.localNanos()));
		}
	}

	private static String pair(String first, String second) {
		return (first.compareTo(second) < 0) ? first + second : second + first;
	}

	private record Delivery(VmId from, VmId to, LimitMessage message, long deliveryNanos) {

	}

	private final class Vm implements LimitUsage {

		private final VmId id;

		private final RegionId region;

		private final double clockRate;

		private LimitShares shares;

		private long incarnation;

		private double demandPerSecond;

		private long wantedInFlight;

		private final List<Long> requestEndsNanos = new ArrayList<>();

		private long nextTickNanos;

		Vm(VmId id, RegionId region) {
			this.id = id;
			this.region = region;
			this.clockRate = 1 + (LimitSimulation.this.random.nextDouble() - 0.5) * 0.04;
		}

		void start() {
			this.requestEndsNanos.clear();
			this.incarnation++;
			this.shares = new LimitShares(this.id, this.region, this.incarnation, LimitSimulation.this.members,
					LimitSettings.DEFAULTS, localNanos());
			this.shares.applyContract(LimitSimulation.this.contract, localNanos());
			this.nextTickNanos = LimitSimulation.this.nowNanos;
		}

		long localNanos() {
			return (long) (LimitSimulation.this.nowNanos * this.clockRate);
		}

		LimitShare share() {
			return this.shares.share(CUSTOMER, SERVICE, localNanos());
		}

		void step() {
			this.requestEndsNanos.removeIf((end) -> end <= LimitSimulation.this.nowNanos);
			long newRequests = Math.min(this.wantedInFlight, share().inFlight()) - this.requestEndsNanos.size();
			for (long i = 0; i < newRequests; i++) {
				long durationNanos = (long) (Math.sqrt(LimitSimulation.this.random.nextDouble()) * DEADLINE_MILLIS
						/ this.clockRate * 1_000_000);
				this.requestEndsNanos.add(LimitSimulation.this.nowNanos + durationNanos);
			}
			if (LimitSimulation.this.nowNanos >= this.nextTickNanos) {
				this.nextTickNanos = LimitSimulation.this.nowNanos + SECOND_NANOS;
				send(this.shares.tick(this, localNanos()));
			}
		}

		void send(List<AddressedLimitMessage> messages) {
			messages.forEach((message) -> transmit(message.to(), message.message()));
		}

		private void transmit(VmId to, LimitMessage message) {
			Random random = LimitSimulation.this.random;
			String otherRegion = LimitSimulation.this.vms.get(to).region.value();
			if (LimitSimulation.this.cutLinks.contains(pair(this.region.value(), otherRegion))) {
				return;
			}
			int copies = LimitSimulation.this.unreliableLinks ? random.nextInt(8) : 1;
			for (int i = 0; i < Math.min(2, copies); i++) {
				boolean late = LimitSimulation.this.unreliableLinks && random.nextInt(6) == 0;
				long delayMillis = late ? random.nextInt(15_000) : 40;
				LimitSimulation.this.deliveries
					.add(new Delivery(this.id, to, message, LimitSimulation.this.nowNanos + delayMillis * 1_000_000));
			}
		}

		@Override
		public LimitShare demand(CustomerId customer, ServiceName service) {
			return new LimitShare((long) (this.demandPerSecond * 1_000), (long) (this.demandPerSecond * 100),
					this.wantedInFlight);
		}

		@Override
		public long inFlight(CustomerId customer, ServiceName service) {
			this.requestEndsNanos.removeIf((end) -> end <= LimitSimulation.this.nowNanos);
			return this.requestEndsNanos.size();
		}

	}

}
