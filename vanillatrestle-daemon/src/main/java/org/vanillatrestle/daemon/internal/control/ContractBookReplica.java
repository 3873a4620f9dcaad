package org.vanillatrestle.daemon.internal.control;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.vanillatrestle.VmId;
import org.vanillatrestle.daemon.internal.operator.BookGateway;
import org.vanillatrestle.daemon.internal.replica.ReplicaHost;
import org.vanillatrestle.daemon.internal.replica.ReplicaSettings;
import org.vanillatrestle.daemon.internal.replica.ReplicaTransport;
import org.vanillatrestle.daemon.internal.settings.Role;
import org.vanillatrestle.daemon.internal.settings.Settings;
import org.vanillatrestle.daemon.internal.settings.VmSettings;
import org.vanillatrestle.daemon.internal.storage.FolderFiles;
import org.vanillatrestle.daemon.internal.storage.LogStorage;
import org.vanillatrestle.daemon.internal.storage.OpenMode;
import org.vanillatrestle.internal.book.BookPage;

/**
 * Runs the replica of the contract book on a VM with the role CONTROL.
 * <p>
 * Thread safe.
 */
public final class ContractBookReplica implements AutoCloseable {

	/**
	 * Name of the contract book's folder within the data folder.
	 */
	public static final String FOLDER = "control";

	private final ReplicaHost replica;

	private final BookGateway gateway;

	/**
	 * Opens the replica's folder. The replica does not run until {@link #start()}.
	 * @param settings the daemon's settings
	 * @param transport carries messages to other replicas
	 * @param changes receives the changed entries, on the replica's thread
	 * @throws IOException if the folder can't be opened
	 */
	public ContractBookReplica(Settings settings, ReplicaTransport transport, Consumer<BookPage> changes)
			throws IOException {
		Path folder = settings.dataFolder().orElseThrow().resolve(FOLDER);
		LogStorage storage = LogStorage.open(new FolderFiles(folder), settings.self().id(), OpenMode.JOIN_IF_EMPTY);
		ReplicatedContractBook machine = new ReplicatedContractBook(changes);
		Set<VmId> voters = settings.vmsWithRole(Role.CONTROL)
			.stream()
			.map(VmSettings::id)
			.collect(Collectors.toUnmodifiableSet());
		this.replica = new ReplicaHost("Book", storage, machine, transport, ReplicaSettings.of(voters));
		this.gateway = new ReplicaBookGateway(this.replica, machine, voters.size(),
				(vm) -> settings.findVm(vm).map((known) -> known.httpAddress().toString()).or(Optional::empty));
	}

	/**
	 * Starts the replica.
	 */
	public void start() {
		this.replica.start();
	}

	public ReplicaHost replica() {
		return this.replica;
	}

	public BookGateway gateway() {
		return this.gateway;
	}

	@Override
	public void close() {
		this.replica.close();
	}

}
