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
 * A group of replicas on a simulated network and clock, both driven by the test.
 */
final class SimulatedGroup {

	static final long MILLIS = 1_000_000;

	private static final long STEP_MILLIS = 20;

	private static final long LONG_STEP_MILLIS = 100;

	private static final long LONG_RUN_MILLIS = 100_000;

	private final Oracle oracle = new Oracle();

	private final List<SimulatedReplica> replicas = new ArrayList<>();

	private final List<LogEnvelope> messagesInTransit = new ArrayList<>();

	private final Set<VmId> isolatedVms = new HashSet<>();

	private final Set<VmId> vmsWithoutSending = new HashSet<>();

	private final Set<VmId> vmsWithoutReceiving = new HashSet<>();

	private NetworkFaults faults = (envelope) -> List.of(envelope);

	private Runnable crashPointHook = () -> {
	};

	private SimulatedReplica runningReplica;

	private long nowNanos = -5 * MILLIS;

	private int storageCount;

	private int proposalCount;

	/**
	 * Founds a group with the first VM as its only voter; the other VMs will join it.
	 */
	SimulatedGroup(int size) {
		List<VmId> vms = new ArrayList<>();
		for (int i = 1; i <= size; i++) {
			vms.add(new VmId("vm-" + i));
		}
		ReplicaId founder = new ReplicaId(vms.get(0), new StorageId("s0"));
		Membership foundingMembership = Membership.ofFounder(new GroupId("group"), founder);
		for (VmId vm : vms) {
			Membership membership = this.replicas.isEmpty() ? foundingMembership : Membership.NONE;
			this.replicas.add(new SimulatedReplica(vm, membership, newStorage(), Set.copyOf(vms), this.oracle,
					this::send, () -> this.crashPointHook.run()));
		}
		this.replicas.forEach((replica) -> replica.start(this.nowNanos));
	}

	private String newStorage() {
		String name = "s" + this.storageCount;
		this.storageCount++;
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

	SimulatedReplica runningReplica() {
		return this.runningReplica;
	}

	int networkSize() {
		return this.messagesInTransit.size();
	}

	void setFaults(NetworkFaults faults) {
		this.faults = faults;
	}

	void setCrashPointHook(Runnable hook) {
		this.crashPointHook = hook;
	}

	void isolate(SimulatedReplica replica) {
		this.isolatedVms.add(replica.id().vm());
	}

	void blockSending(SimulatedReplica replica) {
		this.vmsWithoutSending.add(replica.id().vm());
	}

	void blockReceiving(SimulatedReplica replica) {
		this.vmsWithoutReceiving.add(replica.id().vm());
	}

	void reconnectAll() {
		this.isolatedVms.clear();
		this.vmsWithoutSending.clear();
		this.vmsWithoutReceiving.clear();
	}

	private void send(LogEnvelope envelope) {
		this.messagesInTransit.addAll(this.faults.apply(envelope));
	}

	void inject(LogEnvelope envelope) {
		this.messagesInTransit.add(envelope);
	}

	/**
	 * Delivers a message that is in transit and, if requested, keeps it in transit for
	 * another delivery.
	 */
	void deliver(int position, boolean keepInTransit) {
		if (this.messagesInTransit.isEmpty()) {
			return;
		}
		int index = Math.floorMod(position, this.messagesInTransit.size());
		LogEnvelope envelope = keepInTransit ? this.messagesInTransit.get(index) : this.messagesInTransit.remove(index);
		if (isBlocked(envelope)) {
			return;
		}
		for (SimulatedReplica replica : this.replicas) {
			if (replica.isUp() && replica.id().vm().equals(envelope.to().vm())) {
				replica.log().receive(envelope, this.nowNanos);
			}
		}
	}

	void drop(int position) {
		if (!this.messagesInTransit.isEmpty()) {
			this.messagesInTransit.remove(Math.floorMod(position, this.messagesInTransit.size()));
		}
	}

	private boolean isBlocked(LogEnvelope envelope) {
		VmId from = envelope.from().vm();
		VmId to = envelope.to().vm();
		return this.isolatedVms.contains(from) || this.isolatedVms.contains(to) || this.vmsWithoutSending.contains(from)
				|| this.vmsWithoutReceiving.contains(to);
	}

	void advanceTime(long millis) {
		this.nowNanos += millis * MILLIS;
		this.replicas.stream().filter(SimulatedReplica::isUp).forEach((replica) -> replica.log().tick(this.nowNanos));
	}

	void processOutputs(SimulatedReplica replica) {
		runStep(replica, () -> replica.processOutputs(this.nowNanos));
	}

	void sync(SimulatedReplica replica) {
		runStep(replica, () -> replica.sync(this.nowNanos));
	}

	private boolean runStep(SimulatedReplica replica, java.util.function.BooleanSupplier step) {
		if (!replica.isUp()) {
			return false;
		}
		this.runningReplica = replica;
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
	 * Advances the time in small steps, and after each step processes all outputs and
	 * delivers the messages in the order in which they were sent.
	 */
	void runFor(long millis) {
		long end = this.nowNanos + millis * MILLIS;
		long step = (millis > LONG_RUN_MILLIS) ? LONG_STEP_MILLIS : STEP_MILLIS;
		while (this.nowNanos < end) {
			advanceTime(step);
			processAll();
		}
	}

	boolean runUntil(Predicate<SimulatedGroup> condition) {
		for (int i = 0; i < 3000 && !condition.test(this); i++) {
			advanceTime(STEP_MILLIS);
			processAll();
		}
		return condition.test(this);
	}

	private void processAll() {
		boolean active = true;
		for (int round = 0; active && round < 1000; round++) {
			active = false;
			for (SimulatedReplica replica : this.replicas) {
				active |= runStep(replica, () -> replica.processOutputs(this.nowNanos));
				active |= runStep(replica, () -> replica.sync(this.nowNanos));
			}
			for (int count = this.messagesInTransit.size(); count > 0 && !this.messagesInTransit.isEmpty(); count--) {
				active = true;
				deliver(0, false);
			}
		}
	}

	Optional<SimulatedReplica> leader() {
		return this.replicas.stream()
			.filter((replica) -> replica.isUp() && !this.isolatedVms.contains(replica.id().vm()))
			.filter((replica) -> replica.log().status(this.nowNanos).role() == Role.LEADER)
			.findFirst();
	}

	LogStatus status(SimulatedReplica replica) {
		return replica.log().status(this.nowNanos);
	}

	void requestReads() {
		this.replicas.stream().filter(SimulatedReplica::isUp).forEach((replica) -> replica.requestRead(this.nowNanos));
	}

	void propose() {
		leader().ifPresent(this::proposeTo);
	}

	void proposeTo(SimulatedReplica replica) {
		this.proposalCount++;
		replica.propose("p" + this.proposalCount, this.nowNanos);
	}

	/**
	 * Proposes until the given number of further proposals is acknowledged.
	 */
	void commit(int count) {
		for (int i = 0; i < count; i++) {
			int wantedAcknowledgements = this.oracle.acknowledgedCount() + 1;
			boolean done = false;
			for (int attempt = 0; attempt < 20 && !done; attempt++) {
				assertThat(runUntil((group) -> group.leader().isPresent())).as("there is a leader").isTrue();
				propose();
				runFor(200);
				done = this.oracle.acknowledgedCount() >= wantedAcknowledgements;
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
	 * Whether a disk may be lost without breaking the guarantees: every replica is
	 * running and knows from a committed membership that all replicas are voters.
	 */
	boolean canLoseDisk() {
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
	 * Ends all faults, then checks that the group commits and that all replicas have
	 * applied the same commands.
	 */
	void checkRecovery(int size) {
		setFaults((envelope) -> List.of(envelope));
		setCrashPointHook(() -> {
		});
		reconnectAll();
		this.replicas.forEach(SimulatedReplica::repairSync);
		restartStopped();
		assertThat(runUntil((group) -> group.hasVoters(size))).as("all replicas are voters: %s", statuses()).isTrue();
		commit(1);
		runFor(1000);
		List<String> expected = this.oracle.commandsUpTo(this.oracle.lastCommitted());
		for (SimulatedReplica replica : this.replicas) {
			assertThat(replica.appliedCommands()).as("commands at %s", replica.id()).isEqualTo(expected);
		}
	}

	/**
	 * Decides which messages enter the network when a message is sent.
	 */
	interface NetworkFaults {

		List<LogEnvelope> apply(LogEnvelope envelope);

	}

	/**
	 * Aborts the current step of a replica that has crashed.
	 */
	static final class CrashException extends RuntimeException {

		private static final long serialVersionUID = 1L;

	}

}
