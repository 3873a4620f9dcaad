package org.vanillatrestle.internal.log;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.vanillatrestle.VmId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A group of replicas over a network and a clock that tests drive.
 */
final class SimulatedGroup {

	static final long MILLIS = 1_000_000;

	private static final long STEP_MILLIS = 20;

	private static final long LONG_STEP_MILLIS = 100;

	private static final long LONG_RUN_MILLIS = 100_000;

	private final Oracle oracle = new Oracle();

	private final List<SimulatedReplica> replicas = new ArrayList<>();

	private final List<LogEnvelope> network = new ArrayList<>();

	private final Set<VmId> cut = new HashSet<>();

	private final Set<VmId> muted = new HashSet<>();

	private final Set<VmId> deafened = new HashSet<>();

	private Network faults = (envelope) -> List.of(envelope);

	private Runnable boundary = () -> {
	};

	private SimulatedReplica running;

	private long nowNanos = -5 * MILLIS;

	private int storages;

	private int proposals;

	/**
	 * Founds a group of one that the other VMs are to join.
	 */
	SimulatedGroup(int size) {
		List<VmId> vms = new ArrayList<>();
		for (int i = 1; i <= size; i++) {
			vms.add(new VmId("vm-" + i));
		}
		ReplicaId founder = new ReplicaId(vms.get(0), new StorageId("s0"));
		Membership founded = Membership.ofFounder(new GroupId("group"), founder);
		for (VmId vm : vms) {
			Membership membership = this.replicas.isEmpty() ? founded : Membership.NONE;
			this.replicas.add(new SimulatedReplica(vm, membership, newStorage(), Set.copyOf(vms), this.oracle,
					this::send, () -> this.boundary.run()));
		}
		this.replicas.forEach((replica) -> replica.start(this.nowNanos));
	}

	private String newStorage() {
		String name = "s" + this.storages;
		this.storages++;
		return name;
	}

	Oracle oracle() {
		return this.oracle;
	}

	List<SimulatedReplica> replicas() {
		return this.replicas;
	}

	SimulatedReplica replica(int number) {
		return this.replicas.get(Math.floorMod(number, this.replicas.size()));
	}

	SimulatedReplica running() {
		return this.running;
	}

	int networkSize() {
		return this.network.size();
	}

	void setFaults(Network faults) {
		this.faults = faults;
	}

	void setBoundary(Runnable boundary) {
		this.boundary = boundary;
	}

	void cut(SimulatedReplica replica) {
		this.cut.add(replica.id().vm());
	}

	void mute(SimulatedReplica replica) {
		this.muted.add(replica.id().vm());
	}

	void deafen(SimulatedReplica replica) {
		this.deafened.add(replica.id().vm());
	}

	void heal() {
		this.cut.clear();
		this.muted.clear();
		this.deafened.clear();
	}

	private void send(LogEnvelope envelope) {
		this.network.addAll(this.faults.pass(envelope));
	}

	void inject(LogEnvelope envelope) {
		this.network.add(envelope);
	}

	/**
	 * Takes a message from the network and delivers it.
	 */
	void deliver(int position, boolean keep) {
		if (this.network.isEmpty()) {
			return;
		}
		int index = Math.floorMod(position, this.network.size());
		LogEnvelope envelope = keep ? this.network.get(index) : this.network.remove(index);
		if (isCut(envelope)) {
			return;
		}
		for (SimulatedReplica replica : this.replicas) {
			if (replica.isUp() && replica.id().vm().equals(envelope.to().vm())) {
				replica.log().receive(envelope, this.nowNanos);
			}
		}
	}

	void drop(int position) {
		if (!this.network.isEmpty()) {
			this.network.remove(Math.floorMod(position, this.network.size()));
		}
	}

	private boolean isCut(LogEnvelope envelope) {
		VmId from = envelope.from().vm();
		VmId to = envelope.to().vm();
		return this.cut.contains(from) || this.cut.contains(to) || this.muted.contains(from)
				|| this.deafened.contains(to);
	}

	void pass(long millis) {
		this.nowNanos += millis * MILLIS;
		this.replicas.stream().filter(SimulatedReplica::isUp).forEach((replica) -> replica.log().tick(this.nowNanos));
	}

	void carryOut(SimulatedReplica replica) {
		whileRunning(replica, () -> replica.carryOut(this.nowNanos));
	}

	void sync(SimulatedReplica replica) {
		whileRunning(replica, () -> replica.sync(this.nowNanos));
	}

	private boolean whileRunning(SimulatedReplica replica, java.util.function.BooleanSupplier step) {
		if (!replica.isUp()) {
			return false;
		}
		this.running = replica;
		try {
			return step.getAsBoolean();
		}
		catch (CrashException ex) {
			return true;
		}
	}

	void start(SimulatedReplica replica) {
		if (!replica.isUp()) {
			replica.start(this.nowNanos);
		}
	}

	void restartStopped() {
		for (SimulatedReplica replica : this.replicas) {
			if (replica.isUp() && replica.log().status(this.nowNanos).role() == Role.FAILED) {
				replica.crash(0);
			}
			start(replica);
		}
	}

	void loseDisk(SimulatedReplica replica) {
		replica.loseDisk(newStorage());
	}

	/**
	 * Lets everything happen in good order for some time.
	 */
	void runFor(long millis) {
		long end = this.nowNanos + millis * MILLIS;
		long step = (millis > LONG_RUN_MILLIS) ? LONG_STEP_MILLIS : STEP_MILLIS;
		while (this.nowNanos < end) {
			pass(step);
			settle();
		}
	}

	boolean runUntil(Predicate<SimulatedGroup> condition) {
		for (int i = 0; i < 3000 && !condition.test(this); i++) {
			pass(STEP_MILLIS);
			settle();
		}
		return condition.test(this);
	}

	private void settle() {
		boolean active = true;
		for (int round = 0; active && round < 1000; round++) {
			active = false;
			for (SimulatedReplica replica : this.replicas) {
				active |= whileRunning(replica, () -> replica.carryOut(this.nowNanos));
				active |= whileRunning(replica, () -> replica.sync(this.nowNanos));
			}
			for (int count = this.network.size(); count > 0 && !this.network.isEmpty(); count--) {
				active = true;
				deliver(0, false);
			}
		}
	}

	Optional<SimulatedReplica> leader() {
		return this.replicas.stream()
			.filter((replica) -> replica.isUp() && !this.cut.contains(replica.id().vm()))
			.filter((replica) -> replica.log().status(this.nowNanos).role() == Role.LEADER)
			.findFirst();
	}

	LogStatus status(SimulatedReplica replica) {
		return replica.log().status(this.nowNanos);
	}

	void propose() {
		leader().ifPresent(this::proposeTo);
	}

	void proposeTo(SimulatedReplica replica) {
		this.proposals++;
		replica.propose("p" + this.proposals, this.nowNanos);
	}

	/**
	 * Proposes until so many more proposals are acknowledged.
	 */
	void commit(int count) {
		for (int i = 0; i < count; i++) {
			int wanted = this.oracle.acknowledgedCount() + 1;
			boolean done = false;
			for (int attempt = 0; attempt < 20 && !done; attempt++) {
				assertThat(runUntil((group) -> group.leader().isPresent())).as("there is a leader").isTrue();
				propose();
				runFor(200);
				done = this.oracle.acknowledgedCount() >= wanted;
			}
			assertThat(done).as("a proposal is acknowledged").isTrue();
		}
	}

	private List<LogStatus> statuses() {
		return this.replicas.stream().filter(SimulatedReplica::isUp).map(this::status).toList();
	}

	boolean hasVoters(int count) {
		return leader().filter((leader) -> {
			LogStatus status = status(leader);
			return status.membership().voters().size() == count && status.membership().learners().isEmpty()
					&& this.replicas.stream().allMatch((replica) -> status.membership().isVoter(replica.id()));
		}).isPresent();
	}

	/**
	 * Whether the group may lose a disk: every replica is up and knows that it and all
	 * others are voters.
	 */
	boolean mayLoseDisk() {
		return this.replicas.size() > 1 && this.replicas.stream().allMatch(this::knowsAllVoters);
	}

	private boolean knowsAllVoters(SimulatedReplica replica) {
		if (!replica.isUp()) {
			return false;
		}
		LogStatus status = status(replica);
		return status.role() != Role.FAILED && status.membershipCommitted()
				&& status.membership().voters().size() == this.replicas.size()
				&& this.replicas.stream().allMatch((other) -> status.membership().isVoter(other.id()));
	}

	/**
	 * Ends every fault and checks that the group works and every replica agrees.
	 */
	void checkRecovery(int size) {
		setFaults((envelope) -> List.of(envelope));
		setBoundary(() -> {
		});
		heal();
		this.replicas.forEach(SimulatedReplica::repairSync);
		restartStopped();
		assertThat(runUntil((group) -> group.hasVoters(size))).as("all replicas are voters: %s", statuses()).isTrue();
		commit(1);
		runFor(1000);
		List<String> expected = this.oracle.commandsUpTo(this.oracle.lastCommitted());
		for (SimulatedReplica replica : this.replicas) {
			assertThat(replica.applied()).as("commands at %s", replica.id()).isEqualTo(expected);
		}
	}

	/**
	 * Decides what becomes of a message.
	 */
	interface Network {

		List<LogEnvelope> pass(LogEnvelope envelope);

	}

	/**
	 * Ends a replica in the middle of a step.
	 */
	static final class CrashException extends RuntimeException {

		private static final long serialVersionUID = 1L;

	}

}
