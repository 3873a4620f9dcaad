package org.vanillatrestle.daemon.internal.ledger;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import org.vanillatrestle.CallerName;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.VmId;
import org.vanillatrestle.daemon.internal.replica.ReplicaHost;
import org.vanillatrestle.daemon.internal.replica.ReplicaSettings;
import org.vanillatrestle.daemon.internal.replica.ReplicaTransport;
import org.vanillatrestle.daemon.internal.settings.Settings;
import org.vanillatrestle.daemon.internal.settings.VmSettings;
import org.vanillatrestle.daemon.internal.storage.FolderFiles;
import org.vanillatrestle.daemon.internal.storage.LogStorage;
import org.vanillatrestle.daemon.internal.storage.OpenMode;
import org.vanillatrestle.internal.log.LogStatus;
import org.vanillatrestle.internal.log.Role;
import org.vanillatrestle.internal.once.LedgerCommand;
import org.vanillatrestle.wire.LedgerCommandCodec;

/**
 * Component that a VM with the role LEDGER runs: a replica of its data centre's once
 * ledger.
 * <p>
 * The leader opens a new ledger, advances the ledger time, abandons the attempts of VMs
 * that stopped, and deletes the answers of removed callers. Thread safe.
 */
public final class LedgerPart implements AutoCloseable {

	/**
	 * The name of the once ledger's folder within the data folder.
	 */
	public static final String FOLDER = "ledger";

	private static final long TICK_MILLIS = 10_000;

	private static final long OPEN_RETRY_MILLIS = 200;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final long NO_TERM = -1;

	private final ReplicaHost replica;

	private final OnceLedgerStateMachine machine;

	private final Optional<LedgerCommand.Open> opening;

	private Future<?> openTimer;

	private Future<?> tickTimer;

	private long lastTickNanos;

	private long lastTickTerm = NO_TERM;

	/**
	 * Opens the replica's folder. The replica does not run until {@link #start} is
	 * called.
	 * @param settings the daemon's settings
	 * @param transport sends messages to other replicas
	 * @throws IOException if the folder can't be used
	 */
	public LedgerPart(Settings settings, ReplicaTransport transport) throws IOException {
		Path dataFolder = settings.dataFolder().orElseThrow();
		this.opening = LedgerOpeningFile.read(dataFolder);
		LogStorage storage = LogStorage.open(new FolderFiles(dataFolder.resolve(FOLDER)), settings.self().id(),
				OpenMode.JOIN_IF_EMPTY);
		this.machine = new OnceLedgerStateMachine(settings.self().dataCentre());
		Set<VmId> voters = settings.ledgerReplicas(settings.self().dataCentre())
			.stream()
			.map(VmSettings::id)
			.collect(Collectors.toUnmodifiableSet());
		this.replica = new ReplicaHost("Ledger", storage, this.machine, transport, ReplicaSettings.of(voters));
	}

	/**
	 * Starts the replica and its timers.
	 * @param eventLoop the event loop that runs the timers
	 */
	public void start(EventLoop eventLoop) {
		this.replica.start();
		this.openTimer = eventLoop.scheduleAtFixedRate(this::openIfNew, 0, OPEN_RETRY_MILLIS, TimeUnit.MILLISECONDS);
		this.tickTimer = eventLoop.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void openIfNew() {
		if (this.machine.issuedPrefix() == null && this.opening.isPresent() && isLeader()) {
			propose(this.opening.get());
		}
	}

	private void tick() {
		long nowNanos = System.nanoTime();
		LogStatus status = this.replica.status();
		if (status.role() == Role.LEADER && status.term() == this.lastTickTerm) {
			propose(new LedgerCommand.Tick((nowNanos - this.lastTickNanos) / NANOS_PER_MILLI));
		}
		this.lastTickTerm = (status.role() == Role.LEADER) ? status.term() : NO_TERM;
		this.lastTickNanos = nowNanos;
	}

	/**
	 * Abandons the attempts of a VM that stopped or restarted.
	 * @param vm the VM
	 * @param belowIncarnation attempts of lower incarnations are abandoned
	 */
	public void holderEnded(VmId vm, long belowIncarnation) {
		if (isLeader()) {
			propose(new LedgerCommand.AbandonHolder(vm, belowIncarnation));
		}
	}

	/**
	 * Deletes the stored answers of a caller that its contract no longer lists.
	 * @param customer the customer
	 * @param caller the caller
	 */
	public void callerRemoved(CustomerId customer, CallerName caller) {
		if (isLeader()) {
			propose(new LedgerCommand.DropAnswers(customer, caller));
		}
	}

	private void propose(LedgerCommand command) {
		this.replica.propose(LedgerCommandCodec.encode(command));
	}

	private boolean isLeader() {
		return this.replica.status().role() == Role.LEADER;
	}

	public ReplicaHost replica() {
		return this.replica;
	}

	OnceLedgerStateMachine machine() {
		return this.machine;
	}

	/**
	 * Returns the prefix of the keys that are currently issued.
	 * @return the prefix, or empty while the ledger is not open
	 */
	public Optional<String> issuedPrefix() {
		return Optional.ofNullable(this.machine.issuedPrefix());
	}

	@Override
	public void close() {
		if (this.openTimer != null) {
			this.openTimer.cancel(false);
			this.tickTimer.cancel(false);
		}
		this.replica.close();
	}

}
