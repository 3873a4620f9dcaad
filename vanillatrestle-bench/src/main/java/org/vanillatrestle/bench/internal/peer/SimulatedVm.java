package org.vanillatrestle.bench.internal.peer;

import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.simple.RandomSource;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.membership.CapacityRow;
import org.vanillatrestle.internal.membership.DataCentreSummary;
import org.vanillatrestle.internal.membership.Gossip;
import org.vanillatrestle.internal.membership.MemberRecord;
import org.vanillatrestle.internal.membership.MemberStatus;
import org.vanillatrestle.internal.membership.Membership;
import org.vanillatrestle.internal.membership.MembershipEvent;
import org.vanillatrestle.internal.membership.MembershipOutput;
import org.vanillatrestle.internal.membership.MembershipSettings;
import org.vanillatrestle.internal.membership.RegionReachability;
import org.vanillatrestle.internal.membership.SummaryExchange;
import org.vanillatrestle.internal.membership.SummaryMessage;
import org.vanillatrestle.internal.membership.SummaryOutput;
import org.vanillatrestle.internal.membership.SummarySettings;
import org.vanillatrestle.internal.target.TargetLoad;
import org.vanillatrestle.wire.MembershipCodec;
import org.vanillatrestle.wire.PeerException;
import org.vanillatrestle.wire.TargetCodec;
import org.vanillatrestle.wire.TargetNews;

/**
 * One idle VM with the daemon's real membership, exchange and codecs under simulated
 * time.
 * <p>
 * Not thread safe.
 */
final class SimulatedVm implements MembershipOutput, SummaryOutput {

	private static final int CONTACTS = 2;

	private final SimulatedNetwork network;

	private final DataCentreId dataCentre;

	private final RegionId region;

	private final Membership membership;

	private final SummaryExchange exchange;

	private final List<CapacityRow> rows = new ArrayList<>();

	private final List<TargetNews.Load> loads = new ArrayList<>();

	private final Traffic traffic = new Traffic();

	SimulatedVm(SimulatedNetwork network, int dataCentre, int index, int models, int targets) {
		this.network = network;
		this.dataCentre = new DataCentreId("dc-" + dataCentre);
		this.region = new RegionId("region-" + dataCentre / 2);
		VmId vm = new VmId(String.format("vm-%02d-%02d", dataCentre, index));
		MemberRecord self = new MemberRecord(vm, "10.20." + dataCentre + "." + index + ":7070", 1, 1_790_000_000_000L,
				0, MemberStatus.ALIVE, 2_600);
		this.membership = new Membership(self, MembershipSettings.defaults(), RandomSource.SPLIT_MIX_64.create(index),
				this, 0);
		this.exchange = new SummaryExchange(this.dataCentre, SummarySettings.defaults(),
				RandomSource.SPLIT_MIX_64.create(dataCentre), this.membership, this, 0);
		for (int i = 0; i < models; i++) {
			this.rows.add(new CapacityRow(0x9e3779b9 * (i + 1), 900 + i, 120 + i, 2_500 + i));
		}
		for (int i = 0; i < targets; i++) {
			this.loads.add(new TargetNews.Load(0x85ebca6b * (i + 1), 80_000 + i, new TargetLoad(60, 4, 70), 500));
		}
	}

	VmId vm() {
		return this.membership.self().vm();
	}

	Traffic traffic() {
		return this.traffic;
	}

	void meet(SimulatedVm other) {
		if (other.dataCentre.equals(this.dataCentre)) {
			this.membership.receive(new Gossip(other.vm(), false, List.of(other.membership.self())), 0);
			return;
		}
		this.exchange.linkUp(other.vm(), other.dataCentre, other.region, 0);
	}

	void tick(long nowNanos) {
		this.membership.tick(nowNanos, 2_600);
		this.exchange.tick(nowNanos, this::summary);
	}

	void passTargetsOn() {
		byte[] payload = TargetCodec.encode(new TargetNews(List.of(), this.loads));
		this.membership.presentMembers().forEach((member) -> {
			this.traffic.sent(payload.length);
			this.network.deliver(member.vm(), (receiver) -> receiver.receiveTargets(payload));
		});
	}

	int knownDataCentres() {
		return this.exchange.summaries().size();
	}

	@Override
	public void send(VmId receiver, Gossip message) {
		byte[] payload = MembershipCodec.encode(message);
		this.traffic.sent(payload.length);
		this.network.deliver(receiver, (vm) -> vm.receiveGossip(payload));
	}

	@Override
	public void send(VmId receiver, SummaryMessage message) {
		byte[] payload = MembershipCodec.encode(message);
		this.traffic.sent(payload.length);
		this.network.deliver(receiver, (vm) -> vm.receiveSummary(payload));
	}

	@Override
	public void changed(MembershipEvent event) {
	}

	@Override
	public void changed(RegionReachability reach) {
	}

	private DataCentreSummary summary() {
		List<String> contacts = this.membership.presentMembers()
			.stream()
			.limit(CONTACTS)
			.map(MemberRecord::address)
			.toList();
		return new DataCentreSummary(this.dataCentre, this.region, 2_600, contacts, this.rows);
	}

	private void receiveGossip(byte[] payload) throws PeerException {
		this.traffic.received(payload.length);
		this.membership.receive(MembershipCodec.decodeGossip(payload), this.network.nowNanos());
	}

	private void receiveSummary(byte[] payload) throws PeerException {
		this.traffic.received(payload.length);
		this.exchange.receive(MembershipCodec.decodeSummary(payload), this.network.nowNanos());
	}

	private void receiveTargets(byte[] payload) throws PeerException {
		this.traffic.received(payload.length);
		TargetCodec.decode(payload);
	}

}
