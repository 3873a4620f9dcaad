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
 * VMs of three regions that share one contract's limits over links that lose, delay,
 * repeat and reorder messages; each VM's clock has its own rate. Not thread safe.
 */
final class LimitWorld {

	static final long SECOND_NANOS = 1_000_000_000L;

	static final long REQUESTS_PER_SECOND = 120;

	static final long IN_FLIGHT = 40;

	static final long DEADLINE_MILLIS = 3_000;

	private static final CustomerId CUSTOMER = new CustomerId("dossieria");

	private static final ServiceName SERVICE = new ServiceName("drafts");

	private static final List<String> REGIONS = List.of("frankfurt", "sanjose", "virginia");

	private final Random random;

	private final int vmsPerRegion;

	private final LimitParties parties;

	private final Contract contract;

	private final Map<VmId, Vm> vms = new TreeMap<>();

	private final List<Delivery> deliveries = new ArrayList<>();

	private final Set<String> cut = new HashSet<>();

	private final boolean faulty;

	private long nowNanos = SECOND_NANOS;

	LimitWorld(long seed, int vmsPerRegion, boolean faulty) {
		this.random = new Random(seed);
		this.vmsPerRegion = vmsPerRegion;
		this.faulty = faulty;
		Map<RegionId, List<VmId>> members = new HashMap<>();
		for (String region : REGIONS) {
			List<VmId> names = new ArrayList<>();
			for (int i = 0; i < vmsPerRegion; i++) {
				names.add(new VmId(region + "-" + i));
			}
			members.put(new RegionId(region), names);
		}
		this.parties = new LimitParties(members);
		ContractService service = ContractService.builder(SERVICE, ServiceKind.MODEL)
			.maxRequestsPerSecond(REQUESTS_PER_SECOND)
			.maxTokensPerSecond(REQUESTS_PER_SECOND * 100)
			.maxInFlight((int) IN_FLIGHT)
			.deadlineMillis(DEADLINE_MILLIS)
			.build();
		this.contract = Contract.builder(CUSTOMER, 1)
			.allowedRegions(members.keySet())
			.services(List.of(service))
			.build();
		members.forEach((region, names) -> names.forEach((name) -> this.vms.put(name, new Vm(name, region))));
		this.vms.values().forEach(Vm::start);
	}

	Random random() {
		return this.random;
	}

	List<VmId> vmIds() {
		return List.copyOf(this.vms.keySet());
	}

	void cut(int firstRegion, int secondRegion, boolean isCut) {
		String pair = pair(REGIONS.get(firstRegion), REGIONS.get(secondRegion));
		if (isCut) {
			this.cut.add(pair);
		}
		else {
			this.cut.remove(pair);
		}
	}

	void restart(VmId vm) {
		this.vms.get(vm).start();
	}

	void demand(VmId vm, double requestsPerSecond, long inFlight) {
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
		return this.vms.values().stream().mapToLong((vm) -> vm.ends.size()).sum();
	}

	double servedPerSecond() {
		return this.vms.values()
			.stream()
			.mapToDouble((vm) -> Math.min(vm.demandPerSecond, vm.share().milliRequestsPerSecond() / 1_000.0))
			.sum();
	}

	private void deliver() {
		List<Delivery> due = new ArrayList<>(this.deliveries);
		due.removeIf((delivery) -> delivery.atNanos > this.nowNanos);
		this.deliveries.removeAll(due);
		for (Delivery delivery : due) {
			Vm to = this.vms.get(delivery.to);
			to.send(to.shares.receive(delivery.from, delivery.message, to, to.clock()));
		}
	}

	private static String pair(String first, String second) {
		return (first.compareTo(second) < 0) ? first + second : second + first;
	}

	private record Delivery(VmId from, VmId to, LimitMessage message, long atNanos) {

	}

	private final class Vm implements LimitUsage {

		private final VmId id;

		private final RegionId region;

		private final double rate;

		private LimitShares shares;

		private long incarnation;

		private double demandPerSecond;

		private long wantedInFlight;

		private final List<Long> ends = new ArrayList<>();

		private long nextTickNanos;

		Vm(VmId id, RegionId region) {
			this.id = id;
			this.region = region;
			this.rate = 1 + (LimitWorld.this.random.nextDouble() - 0.5) * 0.04;
		}

		void start() {
			this.ends.clear();
			this.incarnation++;
			this.shares = new LimitShares(this.id, this.region, this.incarnation, LimitWorld.this.parties,
					LimitSettings.DEFAULTS, clock());
			this.shares.contractChanged(LimitWorld.this.contract, clock());
			this.nextTickNanos = LimitWorld.this.nowNanos;
		}

		long clock() {
			return (long) (LimitWorld.this.nowNanos * this.rate);
		}

		LimitShare share() {
			return this.shares.share(CUSTOMER, SERVICE, clock());
		}

		void step() {
			this.ends.removeIf((end) -> end <= LimitWorld.this.nowNanos);
			long room = Math.min(this.wantedInFlight, share().inFlight()) - this.ends.size();
			for (long i = 0; i < room; i++) {
				long lasts = (long) (Math.sqrt(LimitWorld.this.random.nextDouble()) * DEADLINE_MILLIS / this.rate
						* 1_000_000);
				this.ends.add(LimitWorld.this.nowNanos + lasts);
			}
			if (LimitWorld.this.nowNanos >= this.nextTickNanos) {
				this.nextTickNanos = LimitWorld.this.nowNanos + SECOND_NANOS;
				send(this.shares.tick(this, clock()));
			}
		}

		void send(List<AddressedLimitMessage> messages) {
			messages.forEach((message) -> transmit(message.to(), message.message()));
		}

		private void transmit(VmId to, LimitMessage message) {
			Random random = LimitWorld.this.random;
			String other = LimitWorld.this.vms.get(to).region.value();
			if (LimitWorld.this.cut.contains(pair(this.region.value(), other))) {
				return;
			}
			int copies = LimitWorld.this.faulty ? random.nextInt(8) : 1;
			for (int i = 0; i < Math.min(2, copies); i++) {
				boolean late = LimitWorld.this.faulty && random.nextInt(6) == 0;
				long delay = late ? random.nextInt(15_000) : 40;
				LimitWorld.this.deliveries
					.add(new Delivery(this.id, to, message, LimitWorld.this.nowNanos + delay * 1_000_000));
			}
		}

		@Override
		public LimitShare demand(CustomerId customer, ServiceName service) {
			return new LimitShare((long) (this.demandPerSecond * 1_000), (long) (this.demandPerSecond * 100),
					this.wantedInFlight);
		}

		@Override
		public long inFlight(CustomerId customer, ServiceName service) {
			this.ends.removeIf((end) -> end <= LimitWorld.this.nowNanos);
			return this.ends.size();
		}

	}

}
