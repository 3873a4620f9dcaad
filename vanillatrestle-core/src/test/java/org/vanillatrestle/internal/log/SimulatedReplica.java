package org.vanillatrestle.internal.log;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.apache.commons.rng.simple.RandomSource;
import org.vanillatrestle.VmId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A replica with a simulated disk. It sends, writes and syncs only when the test tells it
 * to.
 */
final class SimulatedReplica {

	private final Oracle oracle;

	private final Consumer<LogEnvelope> network;

	private final Runnable crashPointHook;

	private final Map<Long, Long> proposalTermByIndex = new HashMap<>();

	private final Map<Long, Long> acknowledgedIndexByRead = new HashMap<>();

	private final List<String> appliedCommands = new ArrayList<>();

	private final Set<VmId> wantedVoters;

	private ReplicaId id;

	private SimulatedDisk disk;

	private ReplicatedLog log;

	private long writeNumber;

	private long appliedIndex;

	private boolean syncFails;

	private Map<VmId, VmLocation> locations = Map.of();

	private int desiredVoterCount = Integer.MAX_VALUE;

	SimulatedReplica(VmId vm, Membership membership, String storage, Set<VmId> wantedVoters, Oracle oracle,
			Consumer<LogEnvelope> network, Runnable crashPointHook) {
		this.id = new ReplicaId(vm, new StorageId(storage));
		this.disk = new SimulatedDisk(membership);
		this.wantedVoters = wantedVoters;
		this.oracle = oracle;
		this.network = network;
		this.crashPointHook = crashPointHook;
	}

	void setDesiredVoterCount(int count) {
		this.desiredVoterCount = count;
		if (this.log != null) {
			this.log.setDesiredVoterCount(count);
		}
	}

	void setLocations(Map<VmId, VmLocation> locations) {
		this.locations = locations;
		this.log.setWantedVoters(locations);
	}

	ReplicaId id() {
		return this.id;
	}

	boolean isUp() {
		return this.log != null;
	}

	ReplicatedLog log() {
		return this.log;
	}

	List<String> appliedCommands() {
		return this.appliedCommands;
	}

	void failSyncs() {
		this.syncFails = true;
	}

	void repairSync() {
		this.syncFails = false;
	}

	void start(long nowNanos) {
		this.appliedCommands.clear();
		this.proposalTermByIndex.clear();
		this.acknowledgedIndexByRead.clear();
		this.appliedIndex = 0;
		this.writeNumber = 0;
		LogSettings settings = new LogSettings(50_000_000, 300_000_000, 300, 1200, 24, 2000, 40, 400);
		this.log = new ReplicatedLog(this.id, settings, this.disk.recover(),
				RandomSource.SPLIT_MIX_64.create((long) this.id.hashCode()), nowNanos);
		this.log.setWantedVoters(this.wantedVoters);
		this.log.setDesiredVoterCount(this.desiredVoterCount);
		if (!this.locations.isEmpty()) {
			this.log.setWantedVoters(this.locations);
		}
	}

	/**
	 * Simulates a crash of the process.
	 * @param keptWrites the number of unsynced writes that survive
	 */
	void crash(int keptWrites) {
		this.log = null;
		this.syncFails = false;
		this.disk.keepFirst(keptWrites);
	}

	int unsyncedCount() {
		return this.disk.unsyncedCount();
	}

	void loseDisk(String newStorage) {
		crash(0);
		this.disk = new SimulatedDisk(Membership.NONE);
		this.id = new ReplicaId(this.id.vm(), new StorageId(newStorage));
	}

	void propose(String command, long nowNanos) {
		Proposal proposal = this.log.propose(command.getBytes(StandardCharsets.US_ASCII), nowNanos);
		if (proposal instanceof Proposal.Appended appended) {
			this.proposalTermByIndex.put(appended.index(), appended.term());
		}
	}

	void requestRead(long nowNanos) {
		this.acknowledgedIndexByRead.put(this.log.requestRead(nowNanos), this.oracle.lastAcknowledged());
	}

	/**
	 * Sends the messages, applies the state changes and executes the writes without
	 * syncing them. Returns whether there was anything to do.
	 */
	boolean processOutputs(long nowNanos) {
		LogStatus status = this.log.status(nowNanos);
		if (status.role() == Role.LEADER) {
			this.oracle.recordLeader(this.id, status.term());
		}
		Outputs outputs = this.log.takeOutputs();
		outputs.messages().forEach(this.network);
		outputs.stateChanges().forEach(this::applyChange);
		outputs.reads()
			.stream()
			.filter(ReadResult::confirmed)
			.forEach((read) -> assertThat(this.appliedIndex).as("read at %s", this.id)
				.isGreaterThanOrEqualTo(this.acknowledgedIndexByRead.get(read.ticket())));
		for (DiskWrite write : outputs.writes()) {
			this.disk.write(write);
			this.crashPointHook.run();
		}
		this.writeNumber = outputs.writeNumber();
		compactIfDue();
		return !outputs.isEmpty();
	}

	/**
	 * Syncs the writes and reports them as synced. Returns whether there was anything to
	 * sync and the sync succeeded.
	 */
	boolean sync(long nowNanos) {
		if (this.disk.isSynced()) {
			return false;
		}
		if (this.syncFails) {
			this.log.storageFailed("no space left");
			return false;
		}
		this.crashPointHook.run();
		this.disk.sync();
		this.crashPointHook.run();
		this.log.synced(this.writeNumber, nowNanos);
		return true;
	}

	private void compactIfDue() {
		if (this.log.isCompactionDue()) {
			assertThat(this.log.status(0).appliedIndex()).isEqualTo(this.appliedIndex);
			this.log.compact(String.join(",", this.appliedCommands).getBytes(StandardCharsets.US_ASCII));
		}
	}

	private void applyChange(StateChange change) {
		if (change instanceof StateChange.Restore restore) {
			this.appliedCommands.clear();
			String state = new String(restore.snapshot().state(), StandardCharsets.US_ASCII);
			if (!state.isEmpty()) {
				this.appliedCommands.addAll(List.of(state.split(",")));
			}
			this.appliedIndex = restore.snapshot().lastIndex();
			assertThat(this.appliedCommands).isEqualTo(this.oracle.commandsUpTo(this.appliedIndex));
		}
		else if (change instanceof StateChange.Apply apply) {
			apply(apply.entry());
		}
	}

	private void apply(LogEntry entry) {
		assertThat(entry.index()).isEqualTo(this.appliedIndex + 1);
		this.appliedIndex = entry.index();
		this.oracle.recordApplied(this.id, entry);
		if (entry.body() instanceof EntryBody.Command command) {
			this.appliedCommands.add("c" + new String(command.bytes(), StandardCharsets.US_ASCII));
		}
		if (this.proposalTermByIndex.getOrDefault(entry.index(), -1L) == entry.term()) {
			this.oracle.recordAcknowledged(entry.index());
		}
	}

}
