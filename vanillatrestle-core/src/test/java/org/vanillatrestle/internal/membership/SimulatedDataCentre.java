package org.vanillatrestle.internal.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.vanillatrestle.VmId;

/**
 * Simulates the VMs of one data centre in virtual time, with links that delay, lose and
 * duplicate messages and can be cut in one direction. Checks on each event that no
 * incarnation decreases.
 */
final class SimulatedDataCentre {

	static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	final List<Membership> views = new ArrayList<>();

	final List<String> events = new ArrayList<>();

	final Set<String> cutLinks = new HashSet<>();

	final Set<Integer> stopped = new HashSet<>();

	private double lossRate;

	private final UniformRandomProvider random;

	private final PriorityQueue<Delivery> deliveries = new PriorityQueue<>(
			Comparator.comparingLong(Delivery::arrivalNanos).thenComparingLong(Delivery::number));

	private final Map<String, Long> incarnations = new HashMap<>();

	private long deliveryCount;

	long nowNanos;

	SimulatedDataCentre(int size, long seed) {
		this.random = RandomSource.SPLIT_MIX_64.create(seed);
		for (int i = 0; i < size; i++) {
			this.views.add(null);
			start(i, 1);
		}
		for (int i = 1; i < size; i++) {
			linkUp(0, i);
		}
	}

	static VmId vm(int index) {
		return new VmId("vm-" + index);
	}

	void start(int index, long incarnation) {
		MemberRecord record = new MemberRecord(vm(index), "host:" + index, 0, incarnation, 0, MemberStatus.ALIVE, 0);
		this.stopped.remove(index);
		this.views.set(index,
				new Membership(record, MembershipSettings.defaults(), this.random, new Output(index), this.nowNanos));
	}

	void linkUp(int one, int other) {
		this.views.get(one).linkUp(vm(other), this.nowNanos);
		this.views.get(other).linkUp(vm(one), this.nowNanos);
	}

	void isolate(int index) {
		for (int other = 0; other < this.views.size(); other++) {
			this.cutLinks.add(index + ">" + other);
			this.cutLinks.add(other + ">" + index);
		}
	}

	void setLossRate(double rate) {
		this.lossRate = rate;
	}

	void restoreLinks() {
		this.cutLinks.clear();
		this.lossRate = 0;
		for (int one = 0; one < this.views.size(); one++) {
			for (int other = 0; other < one; other++) {
				if (!this.stopped.contains(one) && !this.stopped.contains(other)) {
					linkUp(one, other);
				}
			}
		}
	}

	void run(long seconds) {
		long endNanos = this.nowNanos + seconds * SECOND_NANOS;
		while (this.nowNanos < endNanos) {
			this.nowNanos += TICK_NANOS;
			deliver();
			for (int i = 0; i < this.views.size(); i++) {
				if (!this.stopped.contains(i)) {
					this.views.get(i).tick(this.nowNanos, 0);
				}
			}
		}
	}

	boolean viewsMatch(Set<Integer> present) {
		for (int one : present) {
			for (int other = 0; other < this.views.size(); other++) {
				if (one != other && seesAlive(one, other) != present.contains(other)) {
					return false;
				}
			}
		}
		return true;
	}

	boolean seesAlive(int one, int other) {
		MemberRecord member = this.views.get(one).member(vm(other));
		return member != null && member.status() == MemberStatus.ALIVE;
	}

	private void deliver() {
		while (!this.deliveries.isEmpty() && this.deliveries.peek().arrivalNanos() <= this.nowNanos) {
			Delivery delivery = this.deliveries.remove();
			if (!this.stopped.contains(delivery.receiver())) {
				this.views.get(delivery.receiver()).receive(delivery.message(), this.nowNanos);
			}
		}
	}

	private void send(int sender, VmId receiver, Gossip message) {
		int index = Integer.parseInt(receiver.value().substring("vm-".length()));
		if (this.cutLinks.contains(sender + ">" + index) || this.random.nextDouble() < this.lossRate) {
			return;
		}
		int copies = (this.lossRate > 0 && this.random.nextInt(4) == 0) ? 2 : 1;
		for (int i = 0; i < copies; i++) {
			long delayNanos = TimeUnit.MILLISECONDS.toNanos(this.random.nextInt(400));
			this.deliveries.add(new Delivery(this.nowNanos + delayNanos, this.deliveryCount++, index, message));
		}
	}

	/**
	 * Delivers the messages and records the events of one VM.
	 */
	private final class Output implements MembershipOutput {

		private final int index;

		Output(int index) {
			this.index = index;
		}

		@Override
		public void send(VmId receiver, Gossip message) {
			SimulatedDataCentre.this.send(this.index, receiver, message);
		}

		@Override
		public void changed(MembershipEvent event) {
			MemberRecord member = event.member();
			SimulatedDataCentre.this.events.add(this.index + " " + event.kind() + " " + member.vm());
			Long earlier = SimulatedDataCentre.this.incarnations.put(this.index + "/" + member.vm(),
					member.incarnation());
			if (earlier != null && earlier > member.incarnation()) {
				throw new AssertionError("The incarnation of " + member.vm() + " decreased to " + member.incarnation());
			}
		}

	}

	/**
	 * A message in transit.
	 */
	private record Delivery(long arrivalNanos, long number, int receiver, Gossip message) {

	}

}
