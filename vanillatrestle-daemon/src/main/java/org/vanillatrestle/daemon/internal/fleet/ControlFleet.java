package org.vanillatrestle.daemon.internal.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import io.netty.channel.EventLoop;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.VmId;
import org.vanillatrestle.daemon.internal.logging.EventKind;
import org.vanillatrestle.daemon.internal.logging.EventLog;
import org.vanillatrestle.internal.declaration.DeclaredState;
import org.vanillatrestle.internal.fleet.EntryReport;
import org.vanillatrestle.internal.fleet.EntryReportSelector;
import org.vanillatrestle.internal.fleet.TargetReport;
import org.vanillatrestle.internal.fleet.TargetTable;
import org.vanillatrestle.internal.log.VmLocation;
import org.vanillatrestle.internal.quarantine.SuspectPart;
import org.vanillatrestle.internal.quarantine.SuspectTable;
import org.vanillatrestle.wire.FleetNews;
import org.vanillatrestle.wire.PeerIdentity;

/**
 * Exchanges state between a control VM and the rest of the fleet: receives heartbeats of
 * entry VMs and reports of targets, and distributes the changes.
 * <p>
 * Confined to the VM's event loop.
 */
public final class ControlFleet implements FleetListener {

	private static final long HEARTBEAT_INTERVAL_MILLIS = 250;

	/**
	 * Interval at which the reports of all targets are sent again, for receivers that
	 * missed a message.
	 */
	private static final long TARGET_RESEND_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(4);

	/**
	 * Suspect prompt parts that changed within this time are sent again, for receivers
	 * that missed a message.
	 */
	private static final long SUSPECT_RESEND_NANOS = TimeUnit.SECONDS.toNanos(20);

	/**
	 * Number of heartbeats from one complete set of entry VM reports to the next; small
	 * enough that receivers don't take an unchanged entry VM for lost.
	 */
	private static final int HEARTBEATS_PER_FULL_REPORT = 4;

	private final FleetLinks links;

	private final EventLoop loop;

	private final ReplicaPort replica;

	private final TargetTable targets = new TargetTable();

	private final SuspectTable suspects = new SuspectTable();

	private final EntryTable entries = new EntryTable();

	private final Map<VmId, VmLocation> controlVms = new HashMap<>();

	private final StateDistributor distributor;

	private final LoadExchange loads;

	private final Followers followers = new Followers();

	private final EntryReportSelector entrySelector = new EntryReportSelector(HEARTBEATS_PER_FULL_REPORT);

	private DeclaredState state = DeclaredState.NONE;

	private long targetsResentNanos;

	private long heartbeatCount;

	private volatile int entriesBehind;

	/**
	 * Creates the exchange.
	 * @param links the links to other VMs
	 * @param loop the VM's event loop
	 * @param replica the replica of the declared state
	 */
	public ControlFleet(FleetLinks links, EventLoop loop, ReplicaPort replica) {
		this.links = links;
		this.loop = loop;
		this.replica = replica;
		this.loads = new LoadExchange(links, loop);
		this.distributor = new StateDistributor(links);
		this.controlVms.putAll(links.ownLocation());
	}

	/**
	 * Starts sending heartbeats.
	 */
	public void start() {
		this.loop.scheduleAtFixedRate(this::tick, 0, HEARTBEAT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void tick() {
		this.links.refreshConnections();
		long now = System.nanoTime();
		Set<VmId> following = this.followers.currentFollowers(now);
		byte[] plain = encodeHeartbeat(List.of());
		byte[] withEntries = encodeHeartbeat(this.entrySelector.selectNext(this.entries.liveReports(now)));
		this.entriesBehind = this.distributor.countBehind(now);
		this.heartbeatCount++;
		for (PeerIdentity peer : this.links.allPeers()) {
			if (following.contains(peer.vm())) {
				this.links.send(peer.vm(), withEntries);
			}
			else if (Followers.isSentToNonFollowers(this.heartbeatCount)) {
				this.links.send(peer.vm(), plain);
			}
		}
		if (now - this.targetsResentNanos > TARGET_RESEND_INTERVAL_NANOS) {
			this.targetsResentNanos = now;
			sendTargets(this.targets.reports(now),
					(peer) -> this.links.isControl(peer.vm()) || following.contains(peer.vm()));
			sendSuspects(this.suspects.changedWithin(SUSPECT_RESEND_NANOS, now),
					(peer) -> this.links.isControl(peer.vm()) || following.contains(peer.vm()));
		}
	}

	// a part may crash engines of any region
	private void sendSuspects(List<SuspectPart> parts, Predicate<PeerIdentity> receivers) {
		if (parts.isEmpty()) {
			return;
		}
		byte[] encoded = FleetLinks.encode(new FleetNews.Suspects(parts));
		this.links.allPeers().stream().filter(receivers).forEach((peer) -> this.links.send(peer.vm(), encoded));
	}

	private void mergeSuspects(VmId sender, List<SuspectPart> reported) {
		long now = System.nanoTime();
		List<SuspectPart> changed = reported.stream()
			.flatMap((part) -> this.suspects.merge(part, now).stream())
			.toList();
		sendSuspects(changed, (peer) -> !peer.vm().equals(sender));
	}

	private byte[] encodeHeartbeat(List<EntryReport> entryReports) {
		return FleetLinks
			.encode(new FleetNews.ControlBeat(this.state.index(), this.links.controlAddresses(), entryReports));
	}

	// an entry VM sends requests only to targets of its own region
	private void sendTargets(List<TargetReport> reports, Predicate<PeerIdentity> receivers) {
		Map<Boolean, List<PeerIdentity>> receiversByControl = this.links.allPeers()
			.stream()
			.filter(receivers)
			.collect(Collectors.partitioningBy((peer) -> this.links.isControl(peer.vm())));
		sendReports(reports, receiversByControl.get(true));
		receiversByControl.get(false)
			.stream()
			.collect(Collectors.groupingBy(PeerIdentity::region))
			.forEach((region, peers) -> sendReports(filterByRegion(reports, region), peers));
	}

	private void sendReports(List<TargetReport> reports, List<PeerIdentity> receivers) {
		if (!reports.isEmpty() && !receivers.isEmpty()) {
			byte[] encoded = FleetLinks.encode(new FleetNews.Targets(reports));
			receivers.forEach((peer) -> this.links.send(peer.vm(), encoded));
		}
	}

	private List<TargetReport> filterByRegion(List<TargetReport> reports, RegionId region) {
		return reports.stream()
			.filter((report) -> this.links.regionOf(report.dataCentre()).map(region::equals).orElse(true))
			.toList();
	}

	/**
	 * Distributes a declared state if it is newer than the current one.
	 * @param changed the declared state
	 */
	public void updateDeclaredState(DeclaredState changed) {
		if (changed.index() <= this.state.index()) {
			return;
		}
		this.state = changed;
		EventLog.write(EventKind.DECLARED, "version", changed.version(), "index", changed.index(), "evacuated",
				changed.evacuated());
		this.distributor.update(changed, System.nanoTime());
	}

	/**
	 * Processes a report received directly from a target.
	 * @param report the report
	 */
	public void updateTarget(TargetReport report) {
		publish(this.targets.merge(report, System.nanoTime()));
	}

	/**
	 * Marks a target as gone and informs the fleet.
	 * @param target the target
	 */
	public void markTargetGone(TargetId target) {
		this.targets.markGone(target, System.nanoTime()).ifPresent((gone) -> publish(List.of(gone)));
	}

	private void publish(List<TargetReport> changes) {
		if (changes.isEmpty()) {
			return;
		}
		changes.forEach(ControlFleet::logChange);
		sendTargets(changes, (peer) -> true);
	}

	static void logChange(TargetReport report) {
		EventLog.write(EventKind.TARGET_CHANGED, "target", report.target(), "condition", report.condition(), "service",
				report.service(), "address", report.address(), "born", report.startedMillis(), "sequence",
				report.sequence(), "coldMillis", report.warmUpRemainingMillis(), "limitPerSecond",
				report.limit().isFinite() ? report.limit().requestsPerSecond() : null);
	}

	/**
	 * Returns the entry VMs that currently count as up.
	 * @return their latest reports
	 */
	public List<EntryReport> entries() {
		return this.entries.liveReports(System.nanoTime());
	}

	/**
	 * Returns the number of connected entry VMs that have lacked a declared state for
	 * longer than a state takes to spread. May be called by any thread.
	 * @return their number
	 */
	public int entriesBehind() {
		return this.entriesBehind;
	}

	@Override
	public void connected(PeerIdentity peer, boolean control) {
		VmLocation location = new VmLocation(peer.region(), peer.dataCentre());
		if (control && !location.equals(this.controlVms.put(peer.vm(), location))) {
			this.replica.setControlVms(this.controlVms);
		}
		sendTargets(this.targets.reports(System.nanoTime()), (other) -> other.vm().equals(peer.vm()));
		sendSuspects(this.suspects.all(System.nanoTime()), (other) -> other.vm().equals(peer.vm()));
	}

	@Override
	public void disconnected(PeerIdentity peer) {
		this.distributor.remove(peer.vm());
		this.loads.remove(peer.vm());
	}

	@Override
	public void onNews(VmId sender, FleetNews news) {
		if (news instanceof FleetNews.EntryBeat beat) {
			long now = System.nanoTime();
			this.entries.update(beat.entry(), now);
			this.followers.update(sender, Followers.isFollowedRank(beat.rank()), now);
			this.distributor.update(sender, beat, now);
		}
		else if (news instanceof FleetNews.EntryLoads entryLoads) {
			this.links.peer(sender).ifPresent((peer) -> this.loads.update(peer, entryLoads));
		}
		else if (news instanceof FleetNews.ControlBeat beat) {
			beat.controlAddresses().forEach(this.links::connectTo);
		}
		else if (news instanceof FleetNews.Suspects reported) {
			mergeSuspects(sender, reported.parts());
		}
		else if (news instanceof FleetNews.Targets targetNews) {
			long now = System.nanoTime();
			targetNews.reports().forEach((report) -> publishToEntries(this.targets.merge(report, now)));
		}
	}

	// an entry VM may be connected to no control VM but this one
	private void publishToEntries(List<TargetReport> changes) {
		if (!changes.isEmpty()) {
			sendTargets(changes, (peer) -> !this.links.isControl(peer.vm()));
		}
	}

	@Override
	public void onLog(VmId sender, byte[] message) {
		this.replica.receive(sender, message);
	}

	@Override
	public CompletableFuture<byte[]> onCall(byte[] payload) {
		return this.replica.call(payload);
	}

	/**
	 * The operations of the declared state's replica that the fleet uses.
	 */
	public interface ReplicaPort {

		/**
		 * Sets the VMs that may hold a replica.
		 * @param vms the locations of the known control VMs
		 */
		void setControlVms(Map<VmId, VmLocation> vms);

		/**
		 * Processes a message from another replica.
		 * @param from the VM that sent it
		 * @param message the encoded message
		 */
		void receive(VmId from, byte[] message);

		/**
		 * Handles a call from another control VM.
		 * @param payload the encoded call
		 * @return the encoded reply
		 */
		CompletableFuture<byte[]> call(byte[] payload);

	}

}
