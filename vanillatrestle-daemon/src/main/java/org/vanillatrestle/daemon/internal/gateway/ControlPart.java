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
 * What a control VM runs: a replica of the declared state, and its part in the fleet.
 * <p>
 * Calls are carried out on the VM's event loop; the disk is used by threads of its own.
 */
public final class ControlPart implements ControlOperations {

	/**
	 * The most addresses in a directory answer.
	 */
	private static final int MAX_ADDRESSES = 64;

	/**
	 * How long callers may use a directory answer, unless the settings allow less.
	 */
	private static final double DIRECTORY_TTL_SECONDS = 1;

	private static final long SUPERVISE_MILLIS = 500;

	private static final long GATHER_MILLIS = 5;

	private static final double NANOS_PER_SECOND = 1e9;

	/**
	 * Several times the way between regions and back, and short enough that a group whose
	 * VMs were all restarted has a leader within a second or two.
	 */
	private static final long ELECTION_TIMEOUT_MILLIS = 800;

	private static final long HEARTBEAT_MILLIS = 150;

	/**
	 * Changes come a few times a minute and a snapshot takes some 10 KB and two syncs, so
	 * that each change has one.
	 */
	private static final int SNAPSHOT_ENTRIES = 1;

	private final GatewaySettings settings;

	private final GatewayProtocol protocol;

	private final DeclaredReplica replica;

	private final DeclarationCalls calls;

	private final ControlFleet fleet;

	private final ControlMetrics metrics = new ControlMetrics();

	private final AtomicReference<DeclaredState> untold = new AtomicReference<>();

	private volatile Optional<Declaration> declaration = Optional.empty();

	private final ScheduledExecutorService supervisor = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread thread = new Thread(task, "replica-supervisor");
		thread.setDaemon(true);
		return thread;
	});

	/**
	 * Opens the data folder.
	 * @param settings the VM's settings
	 * @param protocol the platform's interfaces
	 * @param loop the VM's event loop
	 * @param links the links to other VMs
	 * @param closer closes what is opened here
	 * @throws IOException if the data folder can't be used
	 */
	public ControlPart(GatewaySettings settings, GatewayProtocol protocol, EventLoop loop, FleetLinks links,
			Closer closer) throws IOException {
		this.settings = settings;
		this.protocol = protocol;
		// fewer would leave no majority once the disks that may be lost are lost
		int voters = 2 * settings.bounds().lostVms() + 1;
		ReplicaSettings defaults = ReplicaSettings.of(Set.of(settings.vm()));
		ReplicaSettings replicaSettings = new ReplicaSettings(logSettings(defaults.log()), defaults.wantedVoters(),
				voters, defaults.batchLimit(), defaults.queueLimit(), defaults.waitingBytesLimit());
		this.replica = closer
			.add(new DeclaredReplica(settings.vm(), settings.dataFolder().orElseThrow().resolve(DeclaredReplica.FOLDER),
					isFounder(settings), links::sendLog, replicaSettings, voters, (state) -> hand(loop, state)));
		this.calls = new DeclarationCalls(settings.vm(), this.replica, () -> links);
		this.fleet = new ControlFleet(links, loop, this.calls);
		closer.add(this.supervisor::shutdownNow);
		this.metrics.gauge("leader", () -> (this.replica.status().role() == Role.LEADER) ? 1 : 0);
		this.metrics.gauge("term", () -> this.replica.status().term());
		this.metrics.gauge("voters", () -> this.replica.status().membership().voters().size());
		this.metrics.gauge("leaderless.seconds", () -> this.replica.status().leaderlessNanos() / NANOS_PER_SECOND);
		this.metrics.gauge("log.index", () -> this.replica.status().lastIndex());
		this.metrics.gauge("log.applied.index", () -> this.replica.status().appliedIndex());
		this.metrics.gauge("declared.version", () -> this.declaration.map(Declaration::version).orElse(0L));
	}

	// a snapshot holds what is committed for certain: a VM that starts tells it before a
	// leader is elected
	private static LogSettings logSettings(LogSettings defaults) {
		return new LogSettings(TimeUnit.MILLISECONDS.toNanos(HEARTBEAT_MILLIS),
				TimeUnit.MILLISECONDS.toNanos(ELECTION_TIMEOUT_MILLIS), defaults.batchBytes(), defaults.windowBytes(),
				defaults.chunkBytes(), defaults.compactionBytes(), SNAPSHOT_ENTRIES, defaults.trailingBytes());
	}

	// of the many states of a replay only the last is told
	private void hand(EventLoop loop, DeclaredState state) {
		if (this.untold.getAndSet(state) == null) {
			loop.schedule(() -> declared(this.untold.getAndSet(null)), GATHER_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	private void declared(DeclaredState state) {
		this.fleet.declared(state);
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

	// the seeds are the same at all VMs when a deployment is founded; the first in order
	// founds the group and the others join it
	private static boolean isFounder(GatewaySettings settings) {
		HostAndPort own = new HostAndPort(settings.host(), settings.listen().peerPort());
		Optional<String> first = settings.seeds().stream().map(HostAndPort::toString).sorted().findFirst();
		return settings.founding() && first.map(own.toString()::equals).orElse(false);
	}

	public ControlFleet fleet() {
		return this.fleet;
	}

	/**
	 * Starts the replica and the beats.
	 * @param loop the VM's event loop
	 */
	public void start(EventLoop loop) {
		this.replica.start();
		loop.execute(this.fleet::start);
		this.supervisor.scheduleWithFixedDelay(this.replica::supervise, SUPERVISE_MILLIS, SUPERVISE_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	@Override
	public Optional<byte[]> resolve(ControlCall.Resolve call) {
		List<EntryReport> ready = this.fleet.entries().stream().filter(EntryReport::ready).toList();
		List<EntryReport> chosen = select(ready, (entry) -> entry.dataCentre().equals(call.dataCentre()));
		if (chosen.isEmpty()) {
			chosen = select(ready, (entry) -> entry.region().equals(call.region()));
		}
		if (chosen.isEmpty()) {
			// callers of a bound host do better with the addresses they know than with a
			// VM of a region that may not have their requests
			Set<RegionId> homes = this.declaration.map((known) -> known.homesOf(call.host())).orElse(Set.of());
			chosen = select(ready, (entry) -> homes.isEmpty() || homes.contains(entry.region()));
		}
		if (chosen.isEmpty()) {
			return Optional.empty();
		}
		double ttl = Math.min(DIRECTORY_TTL_SECONDS, this.settings.bounds().directoryTtlSeconds());
		return Optional.of(this.protocol.writeDirectory(chosen.stream().map(EntryReport::frontAddress).toList(), ttl));
	}

	private static List<EntryReport> select(List<EntryReport> ready, Predicate<EntryReport> wanted) {
		List<EntryReport> chosen = new ArrayList<>(ready.stream().filter(wanted).toList());
		Collections.shuffle(chosen);
		return chosen.subList(0, Math.min(MAX_ADDRESSES, chosen.size()));
	}

	@Override
	public void report(TargetReport report) {
		this.fleet.reported(report);
	}

	@Override
	public void leave(TargetId target) {
		this.fleet.left(target);
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
		return this.calls.propose(command);
	}

	@Override
	public CompletableFuture<Optional<DeclaredState>> read() {
		return this.calls.read();
	}

}
