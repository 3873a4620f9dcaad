package org.vanillatrestle.daemon.internal.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.apache.commons.rng.UniformRandomProvider;
import org.vanillatrestle.InvalidDocumentException;
import org.vanillatrestle.VmId;
import org.vanillatrestle.daemon.GatewaySettings;
import org.vanillatrestle.daemon.internal.fleet.EntryFleet;
import org.vanillatrestle.daemon.internal.fleet.FleetLinks;
import org.vanillatrestle.daemon.internal.http.BodyMemory;
import org.vanillatrestle.daemon.internal.http.HttpFront;
import org.vanillatrestle.daemon.internal.http.HttpRoutes;
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
import org.vanillatrestle.internal.fleet.EntryMemory;
import org.vanillatrestle.internal.fleet.EntryReport;
import org.vanillatrestle.internal.fleet.FlightLoad;
import org.vanillatrestle.internal.fleet.ServiceWait;
import org.vanillatrestle.internal.fleet.TargetReport;
import org.vanillatrestle.internal.gateway.Choice;
import org.vanillatrestle.internal.gateway.ColdShare;
import org.vanillatrestle.internal.gateway.GatewayTarget;
import org.vanillatrestle.internal.gateway.GatewayTargets;
import org.vanillatrestle.internal.gateway.RemoteEntries;
import org.vanillatrestle.internal.gateway.RetryBudget;

/**
 * What an entry VM runs: callers' requests, requests from other VMs, and its part in the
 * fleet.
 * <p>
 * Used on the VM's event loop but for starting and stopping.
 */
public final class EntryPart implements EntryFleet.Follower {

	/**
	 * Targets stand near their VMs; a connection that takes longer leads nowhere. A VM in
	 * another region is reached within it too.
	 */
	private static final int CONNECT_TIMEOUT_MILLIS = 600;

	/**
	 * Answers that are collected whole may take an eighth of the heap together; requests'
	 * bodies have a bound of their own.
	 */
	private static final long ANSWERS_MEMORY_PART = 8;

	private static final long HOUSEKEEPING_MILLIS = 1_000;

	/**
	 * Waits are told to other VMs in steps, so that small changes are no news.
	 */
	private static final long WAIT_STEP_MILLIS = 25;

	private static final int READING_STEPS = 20;

	private static final int PERCENT = 100;

	private final GatewaySettings settings;

	private final EventLoop loop;

	private final GatewayProtocol protocol;

	private final GatewayTargets targets;

	private final RemoteEntries remotes;

	private final EntryMemory entryMemory = new EntryMemory();

	private final RetryBudget budget;

	private final RequestTelemetry journal = new RequestTelemetry();

	private final RequestDispatcher callers;

	private final EntryFleet fleet;

	private HttpFront front;

	private HttpFront forwards;

	private volatile boolean stopping;

	/**
	 * Creates the part.
	 * @param settings the VM's settings
	 * @param protocol the platform's interfaces
	 * @param loop the VM's event loop
	 * @param links the links to control VMs
	 * @param random for choices by chance
	 * @param closer closes what is opened here
	 */
	public EntryPart(GatewaySettings settings, GatewayProtocol protocol, EventLoop loop, FleetLinks links,
			UniformRandomProvider random, Closer closer) {
		this.settings = settings;
		this.protocol = protocol;
		this.loop = loop;
		GatewaySettings.Bounds bounds = settings.bounds();
		this.targets = new GatewayTargets(settings.vm(), settings.dataCentre(),
				new ColdShare(bounds.coldFactor(), bounds.coldSlack()), random);
		this.remotes = new RemoteEntries(settings.region(), random);
		this.budget = new RetryBudget(bounds.retryRatio(), bounds.retryAllowance(),
				TimeUnit.MILLISECONDS.toNanos(bounds.retryWindowMillis()));
		TargetClient client = closer.add(new TargetClient(loop, CONNECT_TIMEOUT_MILLIS, true));
		this.fleet = new EntryFleet(links, loop, this::report, this);
		this.callers = new RequestDispatcher(new GatewayContext(loop, settings.region(), protocol, this.targets,
				this.remotes, client, this.budget, this.journal, random, () -> this.fleet.tellLoadsUrgently(),
				(target, bornMillis) -> this.fleet.targetLeaves(target, bornMillis),
				new BodyMemory(Runtime.getRuntime().maxMemory() / ANSWERS_MEMORY_PART), System.nanoTime()));
	}

	public EntryFleet fleet() {
		return this.fleet;
	}

	public RequestTelemetry journal() {
		return this.journal;
	}

	/**
	 * Opens the sockets.
	 * @param closer closes them
	 * @throws IOException if an address can't be used
	 */
	public void start(Closer closer) throws IOException {
		this.front = closer
			.add(new HttpFront(this.loop, HttpLimits.DEFAULT, new HttpRoutes(List.of(this.callers.httpRoute(false)))));
		this.front.listen(this.settings.listen().front().orElseThrow());
		this.forwards = closer
			.add(new HttpFront(this.loop, HttpLimits.DEFAULT, new HttpRoutes(List.of(this.callers.httpRoute(true)))));
		this.forwards.listen(forwardAddress());
		this.journal.gauge("vanillatrestle.gateway.connections", this.front::connectionCount);
		this.loop.execute(this.fleet::start);
		this.loop.scheduleAtFixedRate(this.targets::forgetGone, HOUSEKEEPING_MILLIS, HOUSEKEEPING_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	private HostAndPort forwardAddress() {
		return new HostAndPort(this.settings.host(), this.settings.listen().forwardPort());
	}

	/**
	 * Tells whether the VM takes new requests.
	 * @return whether a declaration is in force and the VM does not stop
	 */
	public boolean isReady() {
		return this.callers.isDeclared() && !this.stopping;
	}

	/**
	 * Begins a graceful stop.
	 */
	public void startShutdown() {
		this.stopping = true;
		this.front.startShutdown();
		this.forwards.startShutdown();
		this.loop.execute(this.fleet::beat);
	}

	/**
	 * Returns the requests in progress.
	 * @return the number
	 */
	public int busyCount() {
		return this.front.busyCount() + this.forwards.busyCount();
	}

	private EntryReport report() {
		long now = System.nanoTime();
		List<ServiceWait> waits = this.callers.services().stream().map((service) -> wait(service, now)).toList();
		return new EntryReport(this.settings.vm(), this.settings.region(), this.settings.dataCentre(),
				this.settings.listen().front().orElseThrow().toString(), forwardAddress().toString(), isReady(), waits);
	}

	private ServiceWait wait(DeclaredService service, long now) {
		Optional<Choice> outlook = this.targets.outlook(service, this.callers.pauseObjectiveMillis(service.name()),
				now);
		long millis = outlook.map(Choice::waitMillis).orElse(-1L);
		long rounded = (millis + WAIT_STEP_MILLIS - 1) / WAIT_STEP_MILLIS * WAIT_STEP_MILLIS;
		double readingSteps = outlook.map(Choice::strain).orElse(0.0) * READING_STEPS;
		return new ServiceWait(service.name(), (millis < 0) ? -1 : rounded,
				(int) Math.ceil(readingSteps) * (PERCENT / READING_STEPS));
	}

	@Override
	public void targetChanged(TargetReport report) {
		boolean near = this.settings.regionOf(report.dataCentre()).map(this.settings.region()::equals).orElse(false);
		if (near) {
			this.targets.update(report, System.nanoTime());
		}
	}

	@Override
	public boolean declared(DeclaredState state) {
		try {
			if (state.isDeclared()) {
				Declaration declaration = this.protocol.readDeclaration(state.document());
				this.callers.applyDeclaration(declaration);
			}
		}
		catch (InvalidDocumentException ex) {
			EventLog.write(EventKind.DECLARED, "version", state.version(), "index", state.index(), "failure",
					ex.getMessage());
			return false;
		}
		this.targets.setEvacuated(state.evacuated(), this.callers.coldStartMillis(), System.nanoTime());
		EventLog.write(EventKind.DECLARED, "version", state.version(), "index", state.index(), "evacuated",
				state.evacuated());
		return true;
	}

	@Override
	public List<FlightLoad> loads() {
		long now = System.nanoTime();
		List<FlightLoad> loads = new ArrayList<>();
		for (GatewayTarget target : this.targets.all()) {
			if (!target.isIdle(now)) {
				loads.add(target.own(now));
			}
		}
		return loads;
	}

	@Override
	public void otherLoadsChanged(List<FlightLoad> loads) {
		this.targets.setOtherLoads(loads, System.nanoTime());
	}

	@Override
	public void entriesChanged(List<EntryReport> entries) {
		this.remotes.update(entries);
		Collection<EntryReport> sharing = this.entryMemory.look(entries, System.nanoTime());
		SortedSet<VmId> near = new TreeSet<>();
		sharing.stream()
			.filter((entry) -> entry.region().equals(this.settings.region()))
			.forEach((entry) -> near.add(entry.vm()));
		this.targets.setRegionEntries(near);
		this.budget.setVmCount(Math.max(1, sharing.size()));
	}

}
