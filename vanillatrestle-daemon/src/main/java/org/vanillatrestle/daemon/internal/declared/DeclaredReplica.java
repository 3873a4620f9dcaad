package org.vanillatrestle.daemon.internal.declared;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.Set;
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
import org.vanillatrestle.internal.log.LogStatus;
import org.vanillatrestle.internal.log.Role;
import org.vanillatrestle.internal.log.StateMachine;
import org.vanillatrestle.wire.DeclarationCodec;
import org.vanillatrestle.wire.DeclarationStateMachine;

/**
 * This VM's replica of the declared state.
 * <p>
 * After a failure of the disk the folder is opened anew, since what is on disk is known
 * again only then. Thread safe.
 */
public final class DeclaredReplica implements AutoCloseable {

	/**
	 * The folder of the declared state within the data folder.
	 */
	public static final String FOLDER = "declared";

	private final VmId vm;

	private final Path folder;

	private final ReplicaTransport transport;

	private final ReplicaSettings settings;

	private final int leastVoters;

	private final Consumer<DeclaredState> changes;

	private volatile Set<VmId> wanted;

	private volatile ReplicaHost host;

	private volatile Machine machine;

	private volatile boolean closed;

	private Role toldRole;

	/**
	 * Opens the replica's folder.
	 * @param vm this VM
	 * @param folder the replica's folder
	 * @param founding whether this VM founds the group if the folder is empty
	 * @param transport carries messages to other replicas
	 * @param settings times and limits of the replica
	 * @param leastVoters the voters below which the leader acknowledges nothing
	 * @param changes takes each state that is in force, on the replica's thread
	 * @throws IOException if the folder can't be used
	 */
	public DeclaredReplica(VmId vm, Path folder, boolean founding, ReplicaTransport transport, ReplicaSettings settings,
			int leastVoters, Consumer<DeclaredState> changes) throws IOException {
		this.vm = vm;
		this.folder = folder;
		this.transport = transport;
		this.settings = settings;
		this.leastVoters = leastVoters;
		this.changes = changes;
		this.wanted = settings.wantedVoters();
		FolderFiles files = new FolderFiles(folder);
		boolean empty = files.names().isEmpty();
		open(files, (founding && empty) ? OpenMode.FOUND_GROUP : OpenMode.JOIN_IF_EMPTY);
	}

	private void open(FolderFiles files, OpenMode mode) throws IOException {
		LogStorage storage = LogStorage.open(files, this.vm, mode);
		this.machine = new Machine();
		ReplicaHost opened = new ReplicaHost("Declared", storage, this.machine, this.transport, this.settings);
		opened.setWantedVoters(this.wanted);
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
	 * @param vms the control VMs known
	 */
	public void setControlVms(Set<VmId> vms) {
		this.wanted = Set.copyOf(vms);
		this.host.setWantedVoters(this.wanted);
	}

	/**
	 * Takes a message of another replica.
	 * @param from the VM that sent it
	 * @param message the bytes
	 */
	public void receive(VmId from, byte[] message) {
		this.host.receive(from, message);
	}

	public LogStatus status() {
		return this.host.status();
	}

	/**
	 * Tells whether this replica or a leader that it heard of lately can order changes.
	 * @return whether a leader is known
	 */
	public boolean hasLeader() {
		LogStatus status = this.host.status();
		return status.failure().isEmpty() && status.leaderlessNanos() == 0
				&& (status.role() == Role.LEADER || status.leader().isPresent());
	}

	/**
	 * Proposes a change, where this replica leads.
	 * @param command the change
	 * @return the state after the change, or empty if it was not taken or its outcome is
	 * not known
	 */
	public CompletableFuture<Optional<DeclaredState>> propose(DeclarationCommand command) {
		ReplicaHost current = this.host;
		Machine applied = this.machine;
		if (current.status().membership().voters().size() < this.leastVoters) {
			return CompletableFuture.completedFuture(Optional.empty());
		}
		return current.propose(DeclarationCodec.encode(command), (outcome) -> {
			boolean committed = outcome instanceof ProposalOutcome.Committed;
			return committed ? Optional.of(applied.state()) : Optional.empty();
		});
	}

	/**
	 * Reads the state, where this replica leads.
	 * @return the latest state acknowledged, or empty if that is not sure
	 */
	public CompletableFuture<Optional<DeclaredState>> read() {
		Machine applied = this.machine;
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
	 * Opens the folder anew if the storage failed. Called now and then by one thread,
	 * which may wait for the disk.
	 */
	public void supervise() {
		LogStatus status = this.host.status();
		if (status.role() != this.toldRole) {
			this.toldRole = status.role();
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
	 * Hands each new state on.
	 */
	private final class Machine implements StateMachine {

		private final DeclarationStateMachine applied = new DeclarationStateMachine();

		DeclaredState state() {
			return this.applied.state();
		}

		@Override
		public byte[] apply(long index, byte[] command) {
			DeclaredState before = this.applied.state();
			byte[] reply = this.applied.apply(index, command);
			tellIfChanged(before);
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
			tellIfChanged(before);
		}

		private void tellIfChanged(DeclaredState before) {
			if (this.applied.state() != before) {
				DeclaredReplica.this.changes.accept(this.applied.state());
			}
		}

	}

}
