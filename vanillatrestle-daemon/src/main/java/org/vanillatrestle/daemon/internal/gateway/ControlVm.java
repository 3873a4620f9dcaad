package org.vanillatrestle.daemon.internal.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Predicate;

import io.netty.channel.EventLoop;
import org.vanillatrestle.InvalidDocumentException;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.daemon.GatewaySettings;
import org.vanillatrestle.daemon.internal.declared.DeclarationCalls;
import org.vanillatrestle.daemon.internal.declared.DeclaredReplica;
import org.vanillatrestle.daemon.internal.fleet.ControlFleet;
import org.vanillatrestle.daemon.internal.fleet.FleetLinks;
import org.vanillatrestle.daemon.internal.lifecycle.Closer;
import org.vanillatrestle.daemon.internal.logging.EventKind;
import org.vanillatrestle.daemon.internal.logging.EventLog;
import org.vanillatrestle.daemon.internal.replica.ReplicaSettings;
import org.vanillatrestle.daemon.internal.settings.HostAndPort;
import org.vanillatrestle.daemon.protocol.ControlCall;
import org.vanillatrestle.daemon.protocol.GatewayProtocol;
import org.vanillatrestle.internal.declaration.Declaration;
import org.vanillatrestle.internal.declaration.DeclarationCommand;
import org.vanillatrestle.internal.declaration.DeclaredState;
import org.vanillatrestle.internal.fleet.EntryReport;
import org.vanillatrestle.internal.fleet.TargetReport;
import org.vanillatrestle.internal.log.LogSettings;
import org.vanillatrestle.internal.log.Role;

/**
 * The components of a control VM: a replica of the declared state, and the exchange of
 * state with the other VMs of the fleet.
 * <p>
 * Calls are processed on the VM's event loop; separate threads access the disk.
 */
public final class ControlVm implements ControlOperations {

	/**
	 * Maximum number of addresses in a directory response.
	 */
	private static final int MAX_DIRECTORY_ADDRESSES = 64;

	/**
	 * Time for which callers may use a directory response, unless the settings specify a
	 * shorter one.
	 */
	private static final double DIRECTORY_TTL_SECONDS = 1;

	private static final long SUPERVISION_PERIOD_MILLIS = 500;

	/**
	 * Delay before a changed state is published, so that a replay of the log publishes
	 * only the last state.
	 */
	private static final long PUBLICATION_DELAY_MILLIS = 5;

	private static final double NANOS_PER_SECOND = 1e9;

	/**
	 * Several times the round trip between regions, yet short enough that a group elects
	 * a leader within one or two seconds after all its VMs were restarted.
	 */
	private static final long ELECTION_TIMEOUT_MILLIS = 800;

	private static final long HEARTBEAT_PERIOD_MILLIS = 150;

	/**
	 * Number of log entries after which a snapshot is taken. The state changes a few
	 * times a minute and a snapshot costs about 10 KB and two disk syncs, so one is taken
	 * after every change.
	 */
	private static final int ENTRIES_PER_SNAPSHOT = 1;

	private final GatewaySettings settings;

	private final GatewayProtocol protocol;

	private final DeclaredReplica replica;

	private final DeclarationCalls declarationCalls;

	private final ControlFleet fleet;

	private final ControlMetrics metrics = new ControlMetrics();

	private final AtomicReference<DeclaredState> unpublishedState = new AtomicReference<>();

	private volatile Optional<Declaration> declaration = Optional.empty();

	private final ScheduledExecutorService supervisor = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread thread = new Thread(task, "replica-supervisor");
		thread.setDaemon(true);
		return thread;
	});

	/**
	 * Creates the components of a control VM and opens its data folder.
	 * @param settings the VM's settings
	 * @param protocol reads and writes the platform's message formats
	 * @param loop the VM's event loop
	 * @param links the links to other VMs
	 * @param closer closes the resources opened here
	 * @throws IOException if the data folder can't be used
	 */
	public ControlVm(GatewaySettings settings, GatewayProtocol protocol, EventLoop loop, FleetLinks links,
			Closer closer) throws IOException {
		this.settings = settings;
		this.protocol = protocol;
		// With fewer voters no majority would remain after the loss of as many disks as
		// the settings tolerate.
		int voters = 2 * settings.bounds().lostVms() + 1;
		ReplicaSettings defaults = ReplicaSettings.of(Set.of(settings.vm()));
		ReplicaSettings replicaSettings = new ReplicaSettings(logSettings(defaults.log()), defaults.wantedVoters(),
				voters, defaults.maxBatchInputs(), defaults.maxQueuedInputs(), defaults.maxPendingBytes());
		this.replica = closer.add(new DeclaredReplica(settings.vm(),
				settings.dataFolder().orElseThrow().resolve(DeclaredReplica.FOLDER), isFounder(settings),
				links::sendLog, replicaSettings, voters, (state) -> schedulePublication(loop, state)));
		this.declarationCalls = new DeclarationCalls(settings.vm(), this.replica, () -> links);
		this.fleet = new ControlFleet(links, loop, this.declarationCalls);
		closer.add(this.supervisor::shutdownNow);
		this.metrics.gauge("leader", () -> (this.replica.status().role() == Role.LEADER) ? 1 : 0);
		this.metrics.gauge("term", () -> this.replica.status().term());
		this.metrics.gauge("voters", () -> this.replica.status().membership().voters().size());
		this.metrics.gauge("leaderless.seconds", () -> this.replica.status().leaderlessNanos() / NANOS_PER_SECOND);
		this.metrics.gauge("log.index", () -> this.replica.status().lastIndex());
		this.metrics.gauge("log.applied.index", () -> this.replica.status().appliedIndex());
		this.metrics.gauge("declared.version", () -> this.declaration.map(Declaration::version).orElse(0L));
		this.metrics.gauge("entries.behind", this.fleet::entriesBehind);
	}

	// A snapshot contains only committed entries, so that a restarted VM can publish its
	// state before a leader is elected.
	private static LogSettings logSettings(LogSettings defaults) {
		return new LogSettings(TimeUnit.MILLISECONDS.toNanos(HEARTBEAT_PERIOD_MILLIS),
				TimeUnit.MILLISECONDS.toNanos(ELECTION_TIMEOUT_MILLIS), defaults.batchBytes(), defaults.windowBytes(),
				defaults.chunkBytes(), defaults.compactionBytes(), ENTRIES_PER_SNAPSHOT, defaults.trailingBytes());
	}

	// Replaying the log produces many states, of which only the last is published.
	private void schedulePublication(EventLoop loop, DeclaredState state) {
		if (this.unpublishedState.getAndSet(state) == null) {
			loop.schedule(() -> publish(this.unpublishedState.getAndSet(null)), PUBLICATION_DELAY_MILLIS,
					TimeUnit.MILLISECONDS);
		}
	}

	private void publish(DeclaredState state) {
		this.fleet.updateDeclaredState(state);
		if (!state.isDeclared()) {
			return;
		}
		try {
			this.declaration = Optional.of(this.protocol.readDeclaration(state.document()));
		}
		catch (InvalidDocumentException ex) {
			EventLog.write(EventKind.DECLARED, "version", state.version(), "failure", ex.getMessage());
		}
	}

	// All VMs have the same seeds when a deployment is founded. The VM at the seed
	// address that sorts first founds the group and the others join it.
	private static boolean isFounder(GatewaySettings settings) {
		HostAndPort own = new HostAndPort(settings.host(), settings.listen().peerPort());
		Optional<String> first = settings.seeds().stream().map(HostAndPort::toString).sorted().findFirst();
		return settings.founding() && first.map(own.toString()::equals).orElse(false);
	}

	public ControlFleet fleet() {
		return this.fleet;
	}

	/**
	 * Starts the replica, its supervision and the periodic messages to the fleet.
	 * @param loop the VM's event loop
	 */
	public void start(EventLoop loop) {
		this.replica.start();
		loop.execute(this.fleet::start);
		this.supervisor.scheduleWithFixedDelay(this.replica::supervise, SUPERVISION_PERIOD_MILLIS,
				SUPERVISION_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
	}

	@Override
	public Optional<byte[]> resolve(ControlCall.Resolve call) {
		List<EntryReport> ready = this.fleet.entries().stream().filter(EntryReport::ready).toList();
		List<EntryReport> chosen = select(ready, (entry) -> entry.dataCentre().equals(call.dataCentre()));
		if (chosen.isEmpty()) {
			chosen = select(ready, (entry) -> entry.region().equals(call.region()));
		}
		if (chosen.isEmpty()) {
			// If the host is bound to regions, its callers are better served by the
			// addresses they already know than by a VM in a region that must not process
			// their requests.
			Set<RegionId> commonRegions = this.declaration.map((known) -> known.commonRegionsOf(call.host()))
				.orElse(Set.of());
			chosen = select(ready, (entry) -> commonRegions.isEmpty() || commonRegions.contains(entry.region()));
		}
		if (chosen.isEmpty()) {
			return Optional.empty();
		}
		double ttlSeconds = Math.min(DIRECTORY_TTL_SECONDS, this.settings.bounds().directoryTtlSeconds());
		return Optional
			.of(this.protocol.writeDirectory(chosen.stream().map(EntryReport::frontAddress).toList(), ttlSeconds));
	}

	private static List<EntryReport> select(List<EntryReport> ready, Predicate<EntryReport> isWanted) {
		List<EntryReport> chosen = new ArrayList<>(ready.stream().filter(isWanted).toList());
		Collections.shuffle(chosen);
		return chosen.subList(0, Math.min(MAX_DIRECTORY_ADDRESSES, chosen.size()));
	}

	@Override
	public void report(TargetReport report) {
		this.fleet.updateTarget(report);
	}

	@Override
	public void leave(TargetId target) {
		this.fleet.markTargetGone(target);
	}

	@Override
	public ControlMetrics metrics() {
		return this.metrics;
	}

	@Override
	public boolean isConnectedToMajority() {
		return this.replica.hasLeader();
	}

	@Override
	public CompletableFuture<Optional<DeclaredState>> propose(DeclarationCommand command) {
		return this.declarationCalls.propose(command);
	}

	@Override
	public long knownIndex() {
		return this.replica.knownState().index();
	}

	@Override
	public CompletableFuture<Optional<DeclaredState>> read() {
		return this.declarationCalls.read();
	}

}
