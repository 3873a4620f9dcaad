package org.vanillatrestle.daemon.internal.declared;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;

import org.vanillatrestle.VmId;
import org.vanillatrestle.daemon.internal.logging.EventKind;
import org.vanillatrestle.daemon.internal.logging.EventLog;
import org.vanillatrestle.daemon.internal.replica.ProposalOutcome;
import org.vanillatrestle.daemon.internal.replica.ReplicaHost;
import org.vanillatrestle.daemon.internal.replica.ReplicaSettings;
import org.vanillatrestle.daemon.internal.replica.ReplicaTransport;
import org.vanillatrestle.daemon.internal.storage.FolderFiles;
import org.vanillatrestle.daemon.internal.storage.LogStorage;
import org.vanillatrestle.daemon.internal.storage.OpenMode;
import org.vanillatrestle.internal.declaration.DeclarationCommand;
import org.vanillatrestle.internal.declaration.DeclaredState;
import org.vanillatrestle.internal.declaration.EvacuationOrderLog;
import org.vanillatrestle.internal.log.LogStatus;
import org.vanillatrestle.internal.log.Role;
import org.vanillatrestle.internal.log.StateMachine;
import org.vanillatrestle.internal.log.VmLocation;
import org.vanillatrestle.wire.DeclarationCodec;
import org.vanillatrestle.wire.DeclarationStateMachine;

/**
 * This VM's replica of the declared state.
 * <p>
 * After a disk failure the folder is reopened, because only then is it known again what
 * is stored on disk. Thread safe.
 */
public final class DeclaredReplica implements AutoCloseable {

	/**
	 * Name of the declared state's folder within the data folder.
	 */
	public static final String FOLDER = "declared";

	/**
	 * How often an evacuation order is proposed in all. A proposal takes a round trip
	 * between control VMs, and a caller waits for several of them.
	 */
	private static final int MAX_PROPOSALS_PER_ORDER = 4;

	private final VmId vm;

	private final Path folder;

	private final ReplicaTransport transport;

	private final ReplicaSettings settings;

	private final int minVoters;

	private final Consumer<DeclaredState> changes;

	private volatile Map<VmId, VmLocation> wantedVms = Map.of();

	private volatile ReplicaHost host;

	private volatile NotifyingStateMachine machine;

	private volatile boolean closed;

	private volatile DeclaredState knownState = DeclaredState.NONE;

	private Role loggedRole;

	/**
	 * Opens the replica's folder.
	 * @param vm this VM
	 * @param folder the replica's folder
	 * @param founding whether this VM creates the replica group if the folder is empty
	 * @param transport carries messages to other replicas
	 * @param settings times and limits of the replica
	 * @param minVoters the number of voters below which the leader acknowledges no change
	 * @param changes receives each state that comes into force, on the replica's thread
	 * @throws IOException if the folder can't be opened
	 */
	public DeclaredReplica(VmId vm, Path folder, boolean founding, ReplicaTransport transport, ReplicaSettings settings,
			int minVoters, Consumer<DeclaredState> changes) throws IOException {
		this.vm = vm;
		this.folder = folder;
		this.transport = transport;
		this.settings = settings;
		this.minVoters = minVoters;
		this.changes = changes;
		FolderFiles files = new FolderFiles(folder);
		boolean empty = files.names().isEmpty();
		open(files, (founding && empty) ? OpenMode.CREATE_GROUP : OpenMode.JOIN_IF_EMPTY);
	}

	private void open(FolderFiles files, OpenMode mode) throws IOException {
		LogStorage storage = LogStorage.open(files, this.vm, mode);
		this.machine = new NotifyingStateMachine();
		ReplicaHost opened = new ReplicaHost("Declared", storage, this.machine, this.transport, this.settings);
		opened.setWantedVoters(this.wantedVms);
		this.host = opened;
	}

	/**
	 * Starts the replica.
	 */
	public void start() {
		this.host.start();
	}

	/**
	 * Sets the VMs that may hold a replica.
	 * @param vms the locations of the known control VMs
	 */
	public void setControlVms(Map<VmId, VmLocation> vms) {
		this.wantedVms = Map.copyOf(vms);
		this.host.setWantedVoters(this.wantedVms);
	}

	/**
	 * Processes a message from another replica.
	 * @param from the VM that sent it
	 * @param message the encoded message
	 */
	public void receive(VmId from, byte[] message) {
		this.host.receive(from, message);
	}

	public LogStatus status() {
		return this.host.status();
	}

	/**
	 * Returns the latest state that this replica has applied, which others may have
	 * overtaken.
	 * @return the state, {@link DeclaredState#NONE} if there is none yet
	 */
	public DeclaredState knownState() {
		return this.knownState;
	}

	/**
	 * Returns whether changes can be ordered, by this replica as the leader or by another
	 * leader that it has recently heard of.
	 * @return whether a leader is known
	 */
	public boolean hasLeader() {
		LogStatus status = this.host.status();
		return status.failure().isEmpty() && status.leaderlessNanos() == 0
				&& (status.role() == Role.LEADER || status.leader().isPresent());
	}

	/**
	 * Proposes a change, if this replica leads. An evacuation order is proposed again
	 * after unrelated changes, which would otherwise keep it from taking effect for as
	 * long as they go on.
	 * @param command the change
	 * @return the state after the change, or empty if it was not accepted or its outcome
	 * is unknown
	 */
	public CompletableFuture<Optional<DeclaredState>> propose(DeclarationCommand command) {
		return (command instanceof DeclarationCommand.Evacuate order) ? proposeOrder(order, MAX_PROPOSALS_PER_ORDER)
				: proposeOnce(command);
	}

	private CompletableFuture<Optional<DeclaredState>> proposeOrder(DeclarationCommand.Evacuate order,
			int proposalsLeft) {
		NotifyingStateMachine applied = this.machine;
		return proposeOnce(applied.orders.rebase(order, applied.published)).thenCompose((state) -> {
			boolean isDone = state.isEmpty() || state.get().isEvacuated(order.dataCentre(), order.evacuated());
			return (isDone || proposalsLeft == 1 || applied.orders.isOvertaken(order))
					? CompletableFuture.completedFuture(state) : proposeOrder(order, proposalsLeft - 1);
		});
	}

	private CompletableFuture<Optional<DeclaredState>> proposeOnce(DeclarationCommand command) {
		ReplicaHost current = this.host;
		NotifyingStateMachine applied = this.machine;
		if (current.status().membership().voters().size() < this.minVoters) {
			return CompletableFuture.completedFuture(Optional.empty());
		}
		return current.propose(DeclarationCodec.encode(command), (outcome) -> {
			boolean committed = outcome instanceof ProposalOutcome.Committed;
			return committed ? Optional.of(applied.state()) : Optional.empty();
		});
	}

	/**
	 * Reads the state, if this replica leads.
	 * @return the latest acknowledged state, or empty if this replica can't confirm that
	 * it is the latest
	 */
	public CompletableFuture<Optional<DeclaredState>> read() {
		NotifyingStateMachine applied = this.machine;
		return this.host
			.read((outcome) -> outcome.latest() ? Optional.of(applied.state()) : Optional.<DeclaredState>empty())
			.exceptionally((failure) -> {
				if (!(failure instanceof RejectedExecutionException)) {
					EventLog.write(EventKind.STORAGE_FAILED, "reason", failure.toString());
				}
				return Optional.empty();
			});
	}

	/**
	 * Reopens the folder if the storage has failed. Called periodically by a single
	 * thread, which may block on disk access.
	 */
	public void supervise() {
		LogStatus status = this.host.status();
		if (status.role() != this.loggedRole) {
			this.loggedRole = status.role();
			EventLog.write(EventKind.REPLICA_ROLE, "role", status.role(), "term", status.term(), "voters",
					status.membership().voters().size());
		}
		if (this.closed || status.failure().isEmpty()) {
			return;
		}
		EventLog.write(EventKind.STORAGE_FAILED, "reason", status.failure().get());
		this.host.close();
		try {
			open(new FolderFiles(this.folder), OpenMode.JOIN_IF_EMPTY);
			this.host.start();
			EventLog.write(EventKind.STORAGE_REOPENED, "index", this.host.status().lastIndex());
		}
		catch (IOException ex) {
			EventLog.write(EventKind.STORAGE_FAILED, "reason", "reopening: " + ex.getMessage());
		}
	}

	@Override
	public void close() {
		this.closed = true;
		this.host.close();
	}

	/**
	 * Applies the replicated log and passes each new state to the consumer.
	 */
	private final class NotifyingStateMachine implements StateMachine {

		private final EvacuationOrderLog orders = new EvacuationOrderLog();

		private final DeclarationStateMachine applied = new DeclarationStateMachine(this.orders);

		private volatile DeclaredState published = DeclaredState.NONE;

		DeclaredState state() {
			return this.applied.state();
		}

		@Override
		public byte[] apply(long index, byte[] command) {
			DeclaredState before = this.applied.state();
			byte[] reply = this.applied.apply(index, command);
			notifyIfChanged(before);
			return reply;
		}

		@Override
		public byte[] snapshot() {
			return this.applied.snapshot();
		}

		@Override
		public void restore(long index, byte[] snapshot) {
			DeclaredState before = this.applied.state();
			this.applied.restore(index, snapshot);
			notifyIfChanged(before);
		}

		private void notifyIfChanged(DeclaredState before) {
			if (this.applied.state() != before) {
				this.published = this.applied.state();
				DeclaredReplica.this.knownState = this.applied.state();
				DeclaredReplica.this.changes.accept(this.applied.state());
			}
		}

	}

}
