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
 * A replica with its disk; carries out outputs as its owner tells it to.
 */
final class SimulatedReplica {

	private final Oracle oracle;

	private final Consumer<LogEnvelope> network;

	private final Runnable boundary;

	private final Map<Long, Long> proposedTerms = new HashMap<>();

	private final List<String> applied = new ArrayList<>();

	private final Set<VmId> wanted;

	private ReplicaId id;

	private SimulatedDisk disk;

	private ReplicatedLog log;

	private long writeNumber;

	private long appliedIndex;

	private boolean failsSync;

	private int voterTarget = Integer.MAX_VALUE;

	SimulatedReplica(VmId vm, Membership membership, String storage, Set<VmId> wanted, Oracle oracle,
			Consumer<LogEnvelope> network, Runnable boundary) {
		this.id = new ReplicaId(vm, new StorageId(storage));
		this.disk = new SimulatedDisk(membership);
		this.wanted = wanted;
		this.oracle = oracle;
		this.network = network;
		this.boundary = boundary;
	}

	void setVoterTarget(int count) {
		this.voterTarget = count;
		if (this.log != null) {
			this.log.setVoterTarget(count);
		}
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

	List<String> applied() {
		return this.applied;
	}

	void failNextSync() {
		this.failsSync = true;
	}

	void repairSync() {
		this.failsSync = false;
	}

	void start(long nowNanos) {
		this.applied.clear();
		this.proposedTerms.clear();
		this.appliedIndex = 0;
		this.writeNumber = 0;
		LogSettings settings = new LogSettings(50_000_000, 300_000_000, 300, 1200, 24, 2000, 40, 400);
		this.log = new ReplicatedLog(this.id, settings, this.disk.recover(),
				RandomSource.SPLIT_MIX_64.create((long) this.id.hashCode()), nowNanos);
		this.log.setWantedVoters(this.wanted);
		this.log.setVoterTarget(this.voterTarget);
	}

	/**
	 * Kills the process.
	 * @param keptWrites how many unsynced writes survive
	 */
	void crash(int keptWrites) {
		this.log = null;
		this.failsSync = false;
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
			this.proposedTerms.put(appended.index(), appended.term());
		}
	}

	/**
	 * Sends messages, writes without syncing, applies what is committed.
	 */
	boolean carryOut(long nowNanos) {
		LogStatus status = this.log.status(nowNanos);
		if (status.role() == Role.LEADER) {
			this.oracle.leads(this.id, status.term());
		}
		Outputs outputs = this.log.takeOutputs();
		outputs.messages().forEach(this.network);
		outputs.stateChanges().forEach(this::change);
		for (DiskWrite write : outputs.writes()) {
			this.disk.write(write);
			this.boundary.run();
		}
		this.writeNumber = outputs.writeNumber();
		compactIfDue();
		return !outputs.isEmpty();
	}

	/**
	 * Syncs what was written.
	 */
	boolean sync(long nowNanos) {
		if (this.disk.isSynced()) {
			return false;
		}
		if (this.failsSync) {
			this.log.storageFailed("no space left");
			return false;
		}
		this.boundary.run();
		this.disk.sync();
		this.boundary.run();
		this.log.synced(this.writeNumber, nowNanos);
		return true;
	}

	private void compactIfDue() {
		if (this.log.isCompactionDue()) {
			assertThat(this.log.status(0).appliedIndex()).isEqualTo(this.appliedIndex);
			this.log.compact(String.join(",", this.applied).getBytes(StandardCharsets.US_ASCII));
		}
	}

	private void change(StateChange change) {
		if (change instanceof StateChange.Restore restore) {
			this.applied.clear();
			String state = new String(restore.snapshot().state(), StandardCharsets.US_ASCII);
			if (!state.isEmpty()) {
				this.applied.addAll(List.of(state.split(",")));
			}
			this.appliedIndex = restore.snapshot().lastIndex();
			assertThat(this.applied).isEqualTo(this.oracle.commandsUpTo(this.appliedIndex));
		}
		else if (change instanceof StateChange.Apply apply) {
			apply(apply.entry());
		}
	}

	private void apply(LogEntry entry) {
		assertThat(entry.index()).isEqualTo(this.appliedIndex + 1);
		this.appliedIndex = entry.index();
		this.oracle.applied(this.id, entry);
		if (entry.body() instanceof EntryBody.Command command) {
			this.applied.add("c" + new String(command.bytes(), StandardCharsets.US_ASCII));
		}
		if (this.proposedTerms.getOrDefault(entry.index(), -1L) == entry.term()) {
			this.oracle.acknowledged(entry.index());
		}
	}

}
