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
 * VMs of one data centre under simulated time, with links that delay, lose and double
 * messages and can be cut one way. Checks in each event that no incarnation goes down.
 */
final class SimulatedDataCentre {

	static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	final List<Membership> views = new ArrayList<>();

	final List<String> events = new ArrayList<>();

	final Set<String> cut = new HashSet<>();

	final Set<Integer> stopped = new HashSet<>();

	private double lossRate;

	private final UniformRandomProvider random;

	private final PriorityQueue<Flight> flights = new PriorityQueue<>(
			Comparator.comparingLong(Flight::arrivalNanos).thenComparingLong(Flight::number));

	private final Map<String, Long> incarnations = new HashMap<>();

	private long flightCount;

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
			this.cut.add(index + ">" + other);
			this.cut.add(other + ">" + index);
		}
	}

	void lose(double rate) {
		this.lossRate = rate;
	}

	void heal() {
		this.cut.clear();
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
			this.nowNanos += STEP_NANOS;
			deliver();
			for (int i = 0; i < this.views.size(); i++) {
				if (!this.stopped.contains(i)) {
					this.views.get(i).tick(this.nowNanos, 0);
				}
			}
		}
	}

	boolean agree(Set<Integer> present) {
		for (int one : present) {
			for (int other = 0; other < this.views.size(); other++) {
				if (one != other && sees(one, other) != present.contains(other)) {
					return false;
				}
			}
		}
		return true;
	}

	boolean sees(int one, int other) {
		MemberRecord member = this.views.get(one).member(vm(other));
		return member != null && member.status() == MemberStatus.ALIVE;
	}

	private void deliver() {
		while (!this.flights.isEmpty() && this.flights.peek().arrivalNanos() <= this.nowNanos) {
			Flight flight = this.flights.remove();
			if (!this.stopped.contains(flight.receiver())) {
				this.views.get(flight.receiver()).receive(flight.message(), this.nowNanos);
			}
		}
	}

	private void send(int sender, VmId receiver, Gossip message) {
		int index = Integer.parseInt(receiver.value().substring("vm-".length()));
		if (this.cut.contains(sender + ">" + index) || this.random.nextDouble() < this.lossRate) {
			return;
		}
		int copies = (this.lossRate > 0 && this.random.nextInt(4) == 0) ? 2 : 1;
		for (int i = 0; i < copies; i++) {
			long delayNanos = TimeUnit.MILLISECONDS.toNanos(this.random.nextInt(400));
			this.flights.add(new Flight(this.nowNanos + delayNanos, this.flightCount++, index, message));
		}
	}

	/**
	 * Records what one VM sends and tells.
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
				throw new AssertionError("The incarnation of " + member.vm() + " went down to " + member.incarnation());
			}
		}

	}

	/**
	 * A message on its way.
	 */
	private record Flight(long arrivalNanos, long number, int receiver, Gossip message) {

	}

}
