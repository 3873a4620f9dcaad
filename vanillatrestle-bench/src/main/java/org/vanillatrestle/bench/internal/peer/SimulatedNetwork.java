package org.vanillatrestle.bench.internal.peer;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.vanillatrestle.VmId;
import org.vanillatrestle.wire.PeerException;

/**
 * Simulated VMs of several data centres, all linked, under simulated time. A message
 * arrives within the step in which it was sent.
 * <p>
 * Not thread safe.
 */
final class SimulatedNetwork {

	private static final int STEP_MILLIS = 250;

	private static final int STEPS_PER_SECOND = 4;

	private static final int STEPS_PER_FLUSH = 8;

	private final List<SimulatedVm> vms = new ArrayList<>();

	private final Map<VmId, SimulatedVm> byName = new HashMap<>();

	private final Deque<Flight> flights = new ArrayDeque<>();

	private long nowNanos;

	SimulatedNetwork(int dataCentres, int vmsPerDataCentre, int models, int targets) {
		for (int i = 0; i < dataCentres * vmsPerDataCentre; i++) {
			SimulatedVm vm = new SimulatedVm(this, i / vmsPerDataCentre, i % vmsPerDataCentre, models, targets);
			this.vms.add(vm);
			this.byName.put(vm.vm(), vm);
		}
		for (SimulatedVm one : this.vms) {
			this.vms.stream().filter((other) -> other != one).forEach(one::meet);
		}
	}

	long nowNanos() {
		return this.nowNanos;
	}

	List<SimulatedVm> vms() {
		return this.vms;
	}

	void deliver(VmId receiver, Delivery delivery) {
		this.flights.add(new Flight(receiver, delivery));
	}

	void run(int seconds) throws PeerException {
		for (int step = 0; step < seconds * STEPS_PER_SECOND; step++) {
			this.nowNanos += TimeUnit.MILLISECONDS.toNanos(STEP_MILLIS);
			this.vms.forEach((vm) -> vm.tick(this.nowNanos));
			if (step % STEPS_PER_FLUSH == 0) {
				this.vms.forEach(SimulatedVm::passTargetsOn);
			}
			arrive();
		}
	}

	private void arrive() throws PeerException {
		while (!this.flights.isEmpty()) {
			Flight flight = this.flights.remove();
			flight.delivery().to(this.byName.get(flight.receiver()));
		}
	}

	/**
	 * Hands a message to its receiver.
	 */
	interface Delivery {

		void to(SimulatedVm receiver) throws PeerException;

	}

	/**
	 * A message on its way.
	 */
	private record Flight(VmId receiver, Delivery delivery) {

	}

}
