package org.vanillatrestle.daemon.internal.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import io.netty.channel.EventLoop;
import org.apache.commons.rng.UniformRandomProvider;
import org.vanillatrestle.InvalidDocumentException;
import org.vanillatrestle.VmId;
import org.vanillatrestle.daemon.GatewaySettings;
import org.vanillatrestle.daemon.internal.fleet.EntryFleet;
import org.vanillatrestle.daemon.internal.fleet.FleetLinks;
import org.vanillatrestle.daemon.internal.http.BodyMemory;
import org.vanillatrestle.daemon.internal.http.HttpRoutes;
import org.vanillatrestle.daemon.internal.http.HttpServer;
import org.vanillatrestle.daemon.internal.lifecycle.Closer;
import org.vanillatrestle.daemon.internal.logging.EventKind;
import org.vanillatrestle.daemon.internal.logging.EventLog;
import org.vanillatrestle.daemon.internal.settings.HostAndPort;
import org.vanillatrestle.daemon.internal.settings.HttpLimits;
import org.vanillatrestle.daemon.internal.target.TargetClient;
import org.vanillatrestle.daemon.protocol.GatewayProtocol;
import org.vanillatrestle.internal.declaration.Declaration;
import org.vanillatrestle.internal.declaration.DeclaredService;
import org.vanillatrestle.internal.declaration.DeclaredState;
import org.vanillatrestle.internal.fleet.EntryLivenessTracker;
import org.vanillatrestle.internal.fleet.EntryReport;
import org.vanillatrestle.internal.fleet.InFlightLoad;
import org.vanillatrestle.internal.fleet.ServiceWait;
import org.vanillatrestle.internal.fleet.TargetReport;
import org.vanillatrestle.internal.gateway.ColdQuota;
import org.vanillatrestle.internal.gateway.DrainWindow;
import org.vanillatrestle.internal.gateway.GatewayTarget;
import org.vanillatrestle.internal.gateway.GatewayTargets;
import org.vanillatrestle.internal.gateway.RemoteEntries;
import org.vanillatrestle.internal.gateway.RequestShape;
import org.vanillatrestle.internal.gateway.RetryBudget;
import org.vanillatrestle.internal.gateway.TargetChoice;
import org.vanillatrestle.internal.quarantine.PartQuarantine;
import org.vanillatrestle.internal.quarantine.SuspectPart;

/**
 * The components of an entry VM: the servers for requests of callers and of other VMs,
 * and the exchange of state with the other VMs of the fleet.
 * <p>
 * Used only on the VM's event loop, except for starting and stopping.
 */
public final class EntryVm implements EntryFleet.FleetChangeListener {

	/**
	 * Timeout for connecting to a target or to a VM in another region. Targets are close
	 * to their VMs, so a slower connection attempt would not succeed, and VMs in other
	 * regions can be reached within this time too.
	 */
	private static final int CONNECT_TIMEOUT_MILLIS = 600;

	/**
	 * All buffered responses together may use the maximum heap size divided by this
	 * number. Request bodies have a separate limit.
	 */
	private static final long RESPONSE_MEMORY_HEAP_DIVISOR = 8;

	private static final long HOUSEKEEPING_PERIOD_MILLIS = 1_000;

	/**
	 * Wait times reported to other VMs are rounded up to a multiple of this, so that
	 * small changes do not make a report count as changed.
	 */
	private static final long REPORTED_WAIT_STEP_MILLIS = 25;

	/**
	 * Number of steps between 0 and 100 percent to which reported reading shares are
	 * rounded up.
	 */
	private static final int READING_SHARE_STEPS = 20;

	private static final int PERCENT = 100;

	private final GatewaySettings settings;

	private final EventLoop loop;

	private final GatewayProtocol protocol;

	private final GatewayTargets targets;

	private final RemoteEntries remoteVms;

	private final EntryLivenessTracker entryLiveness = new EntryLivenessTracker();

	private final RetryBudget retryBudget;

	private final RequestTelemetry telemetry = new RequestTelemetry();

	private final WaitGauges waitGauges = new WaitGauges(this.telemetry);

	private final RequestDispatcher dispatcher;

	private final EntryFleet fleet;

	private final PartQuarantine quarantine;

	private final DrainingRoute callerRoute;

	private final DrainingRoute forwardRoute;

	private HttpServer callerServer;

	private HttpServer forwardServer;

	private volatile boolean shuttingDown;

	private volatile int dataCentreVmCount;

	/**
	 * Creates the components of an entry VM.
	 * @param settings the VM's settings
	 * @param protocol reads and writes the platform's message formats
	 * @param loop the VM's event loop
	 * @param links the links to control VMs
	 * @param random the source of randomness for choices
	 * @param closer closes the resources opened here
	 */
	public EntryVm(GatewaySettings settings, GatewayProtocol protocol, EventLoop loop, FleetLinks links,
			UniformRandomProvider random, Closer closer) {
		this.settings = settings;
		this.protocol = protocol;
		this.loop = loop;
		GatewaySettings.Bounds bounds = settings.bounds();
		this.targets = new GatewayTargets(settings.vm(), settings.dataCentre(),
				new ColdQuota(bounds.coldFactor(), bounds.coldSlack()), random);
		this.remoteVms = new RemoteEntries(settings.region(), random);
		this.retryBudget = new RetryBudget(settings.vm(), bounds.retryRatio(), bounds.retryAllowance(),
				TimeUnit.MILLISECONDS.toNanos(bounds.retryWindowMillis()), settings.regions().size(),
				settings.founding());
		TargetClient client = closer.add(new TargetClient(loop, CONNECT_TIMEOUT_MILLIS, true));
		this.fleet = new EntryFleet(links, loop, this::entryReport, this);
		this.quarantine = new PartQuarantine(settings.vm(), new SuspectLog(this.fleet));
		this.dispatcher = new RequestDispatcher(new GatewayContext(loop, settings.region(), protocol, this.targets,
				this.remoteVms, client, this.retryBudget, this.telemetry, random, () -> this.fleet.sendLoadsUrgently(),
				this.fleet, new BodyMemory(Runtime.getRuntime().maxMemory() / RESPONSE_MEMORY_HEAP_DIVISOR),
				this.quarantine, new TargetCrashMonitor(loop, client, this.quarantine, this.telemetry),
				System.nanoTime()));
		this.callerRoute = new DrainingRoute(this.dispatcher.httpRoute(false), false, protocol, this.telemetry);
		this.forwardRoute = new DrainingRoute(this.dispatcher.httpRoute(true), true, protocol, this.telemetry);
	}

	public EntryFleet fleet() {
		return this.fleet;
	}

	public RequestTelemetry telemetry() {
		return this.telemetry;
	}

	/**
	 * Opens the server sockets and starts the periodic tasks.
	 * @param closer closes the servers
	 * @throws IOException if an address can't be used
	 */
	public void start(Closer closer) throws IOException {
		this.callerServer = closer
			.add(new HttpServer(this.loop, HttpLimits.DEFAULT, new HttpRoutes(List.of(this.callerRoute))));
		this.callerServer.listen(this.settings.listen().front().orElseThrow());
		this.forwardServer = closer
			.add(new HttpServer(this.loop, HttpLimits.DEFAULT, new HttpRoutes(List.of(this.forwardRoute))));
		this.forwardServer.listen(forwardAddress());
		this.telemetry.gauge("vanillatrestle.gateway.connections", this.callerServer::connectionCount);
		this.telemetry.gauge("vanillatrestle.gateway.data.centre.vms", () -> this.dataCentreVmCount);
		this.telemetry.gauge("vanillatrestle.gateway.declared.version", this.dispatcher::declaredVersion);
		this.telemetry.gauge("vanillatrestle.gateway.declared.lag.seconds", this.fleet::lagSeconds);
		this.loop.execute(this.fleet::start);
		this.loop.scheduleAtFixedRate(this::housekeep, HOUSEKEEPING_PERIOD_MILLIS, HOUSEKEEPING_PERIOD_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	private void housekeep() {
		this.targets.removeGone();
		long now = System.nanoTime();
		for (DeclaredService service : this.dispatcher.services()) {
			RequestShape noPrompt = new RequestShape(service, 0, 0, List.of(),
					this.dispatcher.pauseObjectiveMillis(service.name()), Double.MAX_VALUE);
			this.waitGauges.update(service.name(), this.targets.choose(noPrompt, Set.of(), now), now);
		}
	}

	private HostAndPort forwardAddress() {
		return new HostAndPort(this.settings.host(), this.settings.listen().forwardPort());
	}

	/**
	 * Checks whether the VM accepts new requests.
	 * @return whether a declaration is in effect and the VM is not shutting down
	 */
	public boolean isReady() {
		return this.dispatcher.isDeclared() && !this.shuttingDown;
	}

	/**
	 * Tells the other VMs and the directory that this VM takes no new callers, and
	 * refuses requests that may not end in time.
	 * @param window decides which requests are still accepted
	 */
	public void startShutdown(DrainWindow window) {
		this.shuttingDown = true;
		this.callerRoute.startDrain(window);
		this.forwardRoute.startDrain(window.forForwardedRequests());
		this.loop.execute(this.fleet::sendHeartbeat);
	}

	/**
	 * Returns the servers for requests of callers and of other VMs.
	 * @return the servers, once they are started
	 */
	public List<HttpServer> servers() {
		return List.of(this.callerServer, this.forwardServer);
	}

	private EntryReport entryReport() {
		long now = System.nanoTime();
		List<ServiceWait> waits = this.dispatcher.services()
			.stream()
			.map((service) -> serviceWait(service, now))
			.toList();
		return new EntryReport(this.settings.vm(), this.settings.region(), this.settings.dataCentre(),
				this.settings.listen().front().orElseThrow().toString(), forwardAddress().toString(), isReady(), waits);
	}

	private ServiceWait serviceWait(DeclaredService service, long now) {
		Optional<TargetChoice> outlook = this.targets.chooseForRemote(service,
				this.dispatcher.pauseObjectiveMillis(service.name()), now);
		long waitMillis = outlook.map(TargetChoice::waitMillis).orElse(-1L);
		long roundedMillis = (waitMillis + REPORTED_WAIT_STEP_MILLIS - 1) / REPORTED_WAIT_STEP_MILLIS
				* REPORTED_WAIT_STEP_MILLIS;
		double readingShareSteps = outlook.map(TargetChoice::harmfulReadingShare).orElse(0.0) * READING_SHARE_STEPS;
		return new ServiceWait(service.name(), (waitMillis < 0) ? -1 : roundedMillis,
				(int) Math.ceil(readingShareSteps) * (PERCENT / READING_SHARE_STEPS));
	}

	@Override
	public void targetChanged(TargetReport report) {
		boolean isInRegion = this.settings.regionOf(report.dataCentre())
			.map(this.settings.region()::equals)
			.orElse(false);
		if (isInRegion) {
			this.targets.update(report, System.nanoTime());
		}
	}

	@Override
	public void suspectsReported(List<SuspectPart> parts) {
		long now = System.nanoTime();
		SuspectLog.writeReported(parts.stream().flatMap((part) -> this.quarantine.merge(part, now).stream()).toList());
	}

	@Override
	public List<SuspectPart> suspects() {
		return this.quarantine.suspects(System.nanoTime());
	}

	@Override
	public boolean applyDeclaredState(DeclaredState state, VmId sender) {
		try {
			if (state.isDeclared()) {
				Declaration declaration = this.protocol.readDeclaration(state.document());
				this.dispatcher.applyDeclaration(declaration);
			}
		}
		catch (InvalidDocumentException ex) {
			EventLog.write(EventKind.DECLARED, "version", state.version(), "index", state.index(), "from", sender,
					"failure", ex.getMessage());
			return false;
		}
		this.targets.setEvacuated(state.evacuated(), this.dispatcher.coldStartMillis(), System.nanoTime());
		EventLog.write(EventKind.DECLARED, "version", state.version(), "index", state.index(), "from", sender,
				"evacuated", state.evacuated());
		return true;
	}

	@Override
	public List<InFlightLoad> inFlightLoads() {
		long now = System.nanoTime();
		List<InFlightLoad> loads = new ArrayList<>();
		for (GatewayTarget target : this.targets.all()) {
			if (!target.isIdle(now)) {
				loads.add(target.own(now));
			}
		}
		return loads;
	}

	@Override
	public void otherLoadsChanged(List<InFlightLoad> loads) {
		this.targets.setOtherLoads(loads, System.nanoTime());
	}

	@Override
	public void entriesChanged(List<EntryReport> entries) {
		this.remoteVms.update(entries);
		Collection<EntryReport> activeEntries = this.entryLiveness.update(entries, System.nanoTime());
		long now = System.nanoTime();
		this.targets.setRegionEntries(vms(activeEntries, (entry) -> entry.region().equals(this.settings.region())),
				now);
		SortedSet<VmId> dataCentreVms = vms(activeEntries,
				(entry) -> entry.dataCentre().equals(this.settings.dataCentre()));
		this.retryBudget.setMembers(dataCentreVms, now);
		this.dataCentreVmCount = dataCentreVms.size();
		this.quarantine.setMembers(vms(activeEntries, (entry) -> true), this.fleet.isConnected());
	}

	private static SortedSet<VmId> vms(Collection<EntryReport> entries, Predicate<EntryReport> included) {
		return entries.stream().filter(included).map(EntryReport::vm).collect(Collectors.toCollection(TreeSet::new));
	}

}
