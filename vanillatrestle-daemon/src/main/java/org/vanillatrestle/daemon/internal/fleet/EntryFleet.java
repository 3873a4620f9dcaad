package org.vanillatrestle.daemon.internal.fleet;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.VmId;
import org.vanillatrestle.daemon.internal.logging.EventKind;
import org.vanillatrestle.daemon.internal.logging.EventLog;
import org.vanillatrestle.internal.declaration.DeclaredState;
import org.vanillatrestle.internal.fleet.EntryReport;
import org.vanillatrestle.internal.fleet.InFlightLoad;
import org.vanillatrestle.internal.fleet.LoadUpdateScheduler;
import org.vanillatrestle.internal.fleet.StateLagTracker;
import org.vanillatrestle.internal.fleet.TargetReport;
import org.vanillatrestle.internal.fleet.TargetTable;
import org.vanillatrestle.internal.quarantine.SuspectListener;
import org.vanillatrestle.internal.quarantine.SuspectPart;
import org.vanillatrestle.wire.FleetNews;
import org.vanillatrestle.wire.PeerIdentity;

/**
 * Exchanges state between an entry VM and the control VMs: sends the entry VM's own
 * report and loads, and applies the updates that control VMs send.
 * <p>
 * Confined to the VM's event loop. The declared state is never replaced by an older one.
 */
public final class EntryFleet implements FleetListener, TargetStatementListener, SuspectListener {

	private static final long HEARTBEAT_INTERVAL_MILLIS = 250;

	/**
	 * Interval at which changed loads are sent.
	 */
	private static final long LOAD_UPDATE_INTERVAL_MILLIS = 100;

	/**
	 * The loads of the other VMs count as unknown if no update arrives for this long.
	 */
	private static final long LOADS_EXPIRY_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

	private static final double NANOS_PER_SECOND = 1e9;

	private final FleetLinks links;

	private final EventLoop loop;

	private final Supplier<EntryReport> ownReport;

	private final FleetChangeListener changeListener;

	private final TargetTable targets = new TargetTable();

	private final EntryTable entries = new EntryTable();

	private DeclaredState state = DeclaredState.NONE;

	private final StateLagTracker lag = new StateLagTracker();

	private boolean loggedBehind;

	private volatile double lagSeconds;

	private final LoadUpdateScheduler loadUpdates = new LoadUpdateScheduler(System.nanoTime());

	private long heartbeatCount;

	private long loadsUpdatedNanos = System.nanoTime();

	/**
	 * Creates the exchange.
	 * @param links the links to the control VMs
	 * @param loop the VM's event loop
	 * @param ownReport supplies the current report of this VM
	 * @param changeListener receives changes and supplies this VM's loads
	 */
	public EntryFleet(FleetLinks links, EventLoop loop, Supplier<EntryReport> ownReport,
			FleetChangeListener changeListener) {
		this.links = links;
		this.loop = loop;
		this.ownReport = ownReport;
		this.changeListener = changeListener;
	}

	/**
	 * Starts sending heartbeats.
	 */
	public void start() {
		this.loop.scheduleAtFixedRate(this::tick, 0, HEARTBEAT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
		this.loop.scheduleAtFixedRate(this::sendLoadsIfDue, LOAD_UPDATE_INTERVAL_MILLIS, LOAD_UPDATE_INTERVAL_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	private void tick() {
		this.links.refreshConnections();
		long now = System.nanoTime();
		this.changeListener.entriesChanged(this.entries.liveReports(now));
		updateLag(now);
		this.heartbeatCount++;
		sendHeartbeat(Followers.isSentToNonFollowers(this.heartbeatCount));
	}

	private void updateLag(long now) {
		this.lagSeconds = this.lag.lagNanos(now) / NANOS_PER_SECOND;
		boolean behind = this.lag.isBehind(now);
		if (behind && !this.loggedBehind) {
			List<PeerIdentity> nearest = this.links.nearestControlPeers();
			EventLog.write(EventKind.DECLARED_BEHIND, "index", this.state.index(), "newestIndex",
					this.lag.newestIndex(), "lagMillis", TimeUnit.NANOSECONDS.toMillis(this.lag.lagNanos(now)),
					"controlIndexes", nearest.stream().map(this::describeIndex).toList());
		}
		this.loggedBehind = behind;
	}

	private String describeIndex(PeerIdentity controlVm) {
		return controlVm.vm() + ":" + this.lag.indexOf(controlVm.vm());
	}

	/**
	 * Returns for how long this VM has lacked a declared state that a control VM has. May
	 * be called by any thread.
	 * @return the time in seconds, 0 if this VM has the newest state that it knows of
	 */
	public double lagSeconds() {
		return this.lagSeconds;
	}

	/**
	 * Sends a heartbeat to all connected control VMs immediately.
	 */
	public void sendHeartbeat() {
		sendHeartbeat(true);
	}

	private void sendHeartbeat(boolean all) {
		EntryReport report = this.ownReport.get();
		int rank = 0;
		for (PeerIdentity peer : this.links.nearestControlPeers()) {
			if (all || Followers.isFollowedRank(rank)) {
				this.links.send(peer.vm(),
						FleetLinks.encode(new FleetNews.EntryBeat(report, this.state.index(), rank)));
			}
			rank++;
		}
	}

	private void sendLoadsIfDue() {
		long now = System.nanoTime();
		if (now - this.loadsUpdatedNanos > LOADS_EXPIRY_NANOS) {
			this.loadsUpdatedNanos = now;
			this.changeListener.otherLoadsChanged(List.of());
		}
		List<InFlightLoad> loads = this.changeListener.inFlightLoads();
		if (this.loadUpdates.isDue(loads, now)) {
			sendLoads(loads, false);
		}
	}

	/**
	 * Sends this VM's in-flight loads immediately, marked as urgent, so that the other
	 * VMs learn of them without the usual delay.
	 */
	public void sendLoadsUrgently() {
		sendLoads(this.changeListener.inFlightLoads(), true);
	}

	@Override
	public void targetLeaving(TargetId target, long bornMillis) {
		this.targets.markDraining(target, bornMillis, System.nanoTime()).ifPresent(this::publish);
	}

	@Override
	public void targetReplaced(TargetId target, long bornMillis) {
		this.targets.markGone(target, bornMillis, System.nanoTime()).ifPresent(this::publish);
	}

	@Override
	public void limitChanged(TargetId target, long bornMillis, double requestsPerSecond) {
		this.targets.changeLimit(target, bornMillis, requestsPerSecond, System.nanoTime()).ifPresent(this::publish);
	}

	private void publish(TargetReport report) {
		ControlFleet.logChange(report);
		this.changeListener.targetChanged(report);
		byte[] news = FleetLinks.encode(new FleetNews.Targets(List.of(report)));
		this.links.controlPeers().forEach((peer) -> this.links.send(peer.vm(), news));
	}

	@Override
	public void suspectsChanged(List<SuspectPart> changed) {
		byte[] news = FleetLinks.encode(new FleetNews.Suspects(changed));
		this.links.controlPeers().forEach((peer) -> this.links.send(peer.vm(), news));
	}

	private void sendSuspects(VmId controlVm) {
		List<SuspectPart> known = this.changeListener.suspects();
		if (!known.isEmpty()) {
			this.links.send(controlVm, FleetLinks.encode(new FleetNews.Suspects(known)));
		}
	}

	/**
	 * Checks whether there is a link to a control VM.
	 * @return whether news of this VM reaches the others
	 */
	public boolean isConnected() {
		return !this.links.controlPeers().isEmpty();
	}

	// a control VM that has restarted learns from targets' own reports no limits
	private void sendLimits(VmId controlVm) {
		List<TargetReport> limited = this.targets.reports(System.nanoTime())
			.stream()
			.filter((report) -> report.limit().revision() > 0)
			.toList();
		if (!limited.isEmpty()) {
			this.links.send(controlVm, FleetLinks.encode(new FleetNews.Targets(limited)));
		}
	}

	private void sendLoads(List<InFlightLoad> loads, boolean urgent) {
		this.loadUpdates.recordSent(loads, System.nanoTime());
		List<PeerIdentity> nearest = this.links.nearestControlPeers();
		for (int i = 0; i < nearest.size(); i++) {
			if (i == 0 || this.links.isInOwnRegion(nearest.get(i))) {
				this.links.send(nearest.get(i).vm(),
						FleetLinks.encode(new FleetNews.EntryLoads(loads, i == 0, urgent)));
			}
		}
	}

	@Override
	public void connected(PeerIdentity peer, boolean control) {
		sendHeartbeat();
		sendLimits(peer.vm());
		sendSuspects(peer.vm());
	}

	@Override
	public void disconnected(PeerIdentity peer) {
		// what the peer reported of others stays valid until another VM sends newer
		// reports
		this.lag.remove(peer.vm());
	}

	@Override
	public void onNews(VmId sender, FleetNews news) {
		long now = System.nanoTime();
		if (news instanceof FleetNews.ControlBeat beat) {
			beat.controlAddresses().forEach(this.links::connectTo);
			beat.entries().forEach((entry) -> this.entries.update(entry, now));
			this.lag.report(sender, beat.declaredIndex(), now);
		}
		else if (news instanceof FleetNews.RegionLoads regionLoads) {
			this.loadsUpdatedNanos = now;
			this.changeListener.otherLoadsChanged(regionLoads.loads());
		}
		else if (news instanceof FleetNews.Targets targetNews) {
			for (TargetReport report : targetNews.reports()) {
				List<TargetReport> changes = this.targets.merge(report, now);
				changes.forEach(ControlFleet::logChange);
				changes.forEach(this.changeListener::targetChanged);
			}
		}
		else if (news instanceof FleetNews.Suspects reported) {
			this.changeListener.suspectsReported(reported.parts());
		}
		else if (news instanceof FleetNews.Declared declared && declared.state().index() > this.state.index()
				&& declared.state().version() >= this.state.version()) {
			if (this.changeListener.applyDeclaredState(declared.state(), sender)) {
				this.state = declared.state();
				this.lag.apply(this.state.index(), now);
			}
		}
	}

	/**
	 * Receives changes in the fleet and supplies this VM's loads.
	 */
	public interface FleetChangeListener {

		/**
		 * Called when a target's report has changed.
		 * @param report the new report
		 */
		void targetChanged(TargetReport report);

		/**
		 * Called when other VMs have told what they know of suspect prompt parts.
		 * @param parts the parts
		 */
		void suspectsReported(List<SuspectPart> parts);

		/**
		 * Returns the suspect prompt parts known to this VM.
		 * @return the parts
		 */
		List<SuspectPart> suspects();

		/**
		 * Called when a newer declared state has arrived.
		 * @param state the state
		 * @param sender the control VM that sent it
		 * @return whether it is in force now
		 */
		boolean applyDeclaredState(DeclaredState state, VmId sender);

		/**
		 * Returns this VM's in-flight loads.
		 * @return the loads; a target that is not listed has none
		 */
		List<InFlightLoad> inFlightLoads();

		/**
		 * Called when the in-flight loads of the region's other entry VMs have been
		 * received, or with an empty list when they have become unknown.
		 * @param loads the loads; a target that is not listed has none
		 */
		void otherLoadsChanged(List<InFlightLoad> loads);

		/**
		 * Called with the entry VMs that currently count as up.
		 * @param entries their latest reports
		 */
		void entriesChanged(List<EntryReport> entries);

	}

}
