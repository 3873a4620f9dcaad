package org.vanillatrestle.internal.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.VmId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the summary exchange between four data centres with three VMs each. Each data
 * centre is in its own region, and all VMs are linked.
 */
class SummaryExchangeTests {

	private static final int DATA_CENTRE_COUNT = 4;

	private static final int VMS_PER_DATA_CENTRE = 3;

	private static final ServiceName SERVICE = new ServiceName("sheets");

	private final TreeMap<VmId, Vm> vms = new TreeMap<>();

	private final Set<String> cutLinks = new HashSet<>();

	private final Deque<Runnable> deliveries = new ArrayDeque<>();

	private final List<String> changes = new ArrayList<>();

	private long nowNanos;

	SummaryExchangeTests() {
		for (int i = 0; i < DATA_CENTRE_COUNT * VMS_PER_DATA_CENTRE; i++) {
			Vm vm = new Vm(i / VMS_PER_DATA_CENTRE, i % VMS_PER_DATA_CENTRE);
			this.vms.put(vm.membership.self().vm(), vm);
		}
		List<MemberRecord> all = this.vms.values().stream().map((vm) -> vm.membership.self()).toList();
		for (Vm vm : this.vms.values()) {
			List<MemberRecord> own = all.stream().filter((member) -> vm.isNeighbour(member.vm())).toList();
			vm.membership.receive(new Gossip(vm.membership.self().vm(), false, own), 0);
			this.vms.values().forEach(vm::link);
		}
		run(10);
	}

	@Test
	void shouldSpreadSummariesToEveryVm() {
		for (Vm vm : this.vms.values()) {
			assertThat(vm.exchange.summaries()).hasSize(DATA_CENTRE_COUNT - 1);
			assertThat(vm.exchange.summaries().get(0).row(SERVICE, null)).isPresent();
			assertThat(vm.exchange.regions()).hasSize(DATA_CENTRE_COUNT - 1).allMatch(RegionReachability::reachable);
		}
	}

	@Test
	void shouldAssignEachDataCentreToOneVm() {
		List<String> assigned = new ArrayList<>();
		this.vms.values()
			.stream()
			.filter((vm) -> vm.dataCentre.value().equals("dc-0"))
			.forEach((vm) -> vm.exchange.assignedDataCentres()
				.forEach((dataCentre) -> assigned.add(dataCentre.value())));
		assertThat(assigned).containsExactlyInAnyOrder("dc-1", "dc-2", "dc-3");
	}

	@Test
	void shouldReceiveSummariesAroundCutLinkAndReportRegionUnreachable() {
		this.changes.clear();
		this.cutLinks.add("dc-0>dc-1");
		this.cutLinks.add("dc-1>dc-0");
		run(120);
		Vm vm = this.vms.get(new VmId("dc-0-vm-0"));
		assertThat(this.changes).hasSize(2 * VMS_PER_DATA_CENTRE)
			.contains("dc-0-vm-0 region-1 false", "dc-1-vm-2 region-0 false");
		assertThat(vm.exchange.ageMillis(new DataCentreId("dc-1"), this.nowNanos))
			.hasValueSatisfying((ageMillis) -> assertThat(ageMillis).isLessThan((int) TimeUnit.SECONDS.toMillis(60)));
		this.changes.clear();
		this.cutLinks.clear();
		run(10);
		assertThat(this.changes).hasSize(2 * VMS_PER_DATA_CENTRE).allMatch((change) -> change.endsWith("true"));
	}

	@Test
	void shouldNotAcceptOldSummaryAsNewWhenDataCentreIsIsolated() {
		for (int i = 1; i < DATA_CENTRE_COUNT; i++) {
			this.cutLinks.add("dc-0>dc-" + i);
			this.cutLinks.add("dc-" + i + ">dc-0");
		}
		run(300);
		Vm vm = this.vms.get(new VmId("dc-2-vm-1"));
		assertThat(vm.exchange.ageMillis(new DataCentreId("dc-0"), this.nowNanos))
			.hasValueSatisfying((ageMillis) -> assertThat(ageMillis).isGreaterThan(280_000));
		run(400);
		assertThat(vm.exchange.summaries()).hasSize(DATA_CENTRE_COUNT - 2);
	}

	@Test
	void shouldReassignDataCentreWhenResponsibleVmDies() {
		Vm responsible = this.vms.values()
			.stream()
			.filter((vm) -> vm.exchange.assignedDataCentres().contains(new DataCentreId("dc-1")))
			.findFirst()
			.orElseThrow();
		VmId dead = responsible.membership.self().vm();
		for (Vm vm : this.vms.values()) {
			vm.exchange.linkLost(dead);
			vm.membership.linkLost(dead, this.nowNanos);
		}
		this.vms.remove(dead);
		run(60);
		assertThat(this.vms.values()).allMatch((vm) -> vm.exchange.ageMillis(responsible.dataCentre, this.nowNanos)
			.map((age) -> age < 20_000)
			.orElse(true));
		assertThat(this.vms.values())
			.allMatch((vm) -> vm.exchange.regions().stream().allMatch(RegionReachability::reachable));
	}

	private void run(int seconds) {
		long endNanos = this.nowNanos + TimeUnit.SECONDS.toNanos(seconds);
		while (this.nowNanos < endNanos) {
			this.nowNanos += TimeUnit.MILLISECONDS.toNanos(250);
			this.vms.values().forEach(Vm::tick);
			for (int pending = this.deliveries.size(); pending > 0; pending--) {
				this.deliveries.remove().run();
			}
		}
	}

	/**
	 * A VM with its membership and its summary exchange.
	 */
	private final class Vm implements MembershipOutput, SummaryOutput {

		private final DataCentreId dataCentre;

		private final RegionId region;

		private final Membership membership;

		private final SummaryExchange exchange;

		Vm(int dataCentre, int index) {
			this.dataCentre = new DataCentreId("dc-" + dataCentre);
			this.region = new RegionId("region-" + dataCentre);
			MemberRecord self = new MemberRecord(new VmId(this.dataCentre + "-vm-" + index), "host:1", 0, 1, 0,
					MemberStatus.ALIVE, 0);
			this.membership = new Membership(self, MembershipSettings.defaults(),
					RandomSource.SPLIT_MIX_64.create((long) index), this, 0);
			this.exchange = new SummaryExchange(this.dataCentre, SummarySettings.defaults(),
					RandomSource.SPLIT_MIX_64.create((long) dataCentre), this.membership, this, 0);
		}

		boolean isNeighbour(VmId vm) {
			return vm.value().startsWith(this.dataCentre.value());
		}

		void link(Vm other) {
			this.exchange.linkUp(other.membership.self().vm(), other.dataCentre, other.region, 0);
		}

		void tick() {
			this.membership.tick(SummaryExchangeTests.this.nowNanos, 0);
			this.exchange.tick(SummaryExchangeTests.this.nowNanos, () -> new DataCentreSummary(this.dataCentre,
					this.region, 3, List.of(), List.of(new CapacityRow(CapacityRow.key(SERVICE, null), 5, 0, 0))));
		}

		@Override
		public void send(VmId receiver, Gossip message) {
			SummaryExchangeTests.this.deliveries.add(() -> deliver(receiver,
					(vm) -> vm.membership.receive(message, SummaryExchangeTests.this.nowNanos)));
		}

		@Override
		public void send(VmId receiver, SummaryMessage message) {
			SummaryExchangeTests.this.deliveries
				.add(() -> deliver(receiver, (vm) -> vm.exchange.receive(message, SummaryExchangeTests.this.nowNanos)));
		}

		@Override
		public void changed(MembershipEvent event) {
		}

		@Override
		public void changed(RegionReachability reach) {
			SummaryExchangeTests.this.changes
				.add(this.membership.self().vm() + " " + reach.region() + " " + reach.reachable());
		}

		private void deliver(VmId receiver, Consumer<Vm> action) {
			Vm vm = SummaryExchangeTests.this.vms.get(receiver);
			if (vm != null && !SummaryExchangeTests.this.cutLinks.contains(this.dataCentre + ">" + vm.dataCentre)) {
				action.accept(vm);
			}
		}

	}

}
