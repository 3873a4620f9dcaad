package org.vanillatrestle.daemon.internal.fleet;

import java.util.HashMap;
import java.util.HashSet;
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
import org.vanillatrestle.internal.fleet.StatePushScheduler;
import org.vanillatrestle.internal.fleet.TargetReport;
import org.vanillatrestle.internal.fleet.TargetTable;
import org.vanillatrestle.wire.FleetNews;
import org.vanillatrestle.wire.PeerIdentity;

/**
 * A control VM's part in the fleet: it takes beats of entry VMs and reports of targets,
 * and tells everybody what changed.
 * <p>
 * Used on the VM's event loop.
 */
public final class ControlFleet implements FleetListener {

	private static final long BEAT_MILLIS = 250;

	/**
	 * How often all targets are told again, for whoever lost a message.
	 */
	private static final long REPEAT_NANOS = TimeUnit.SECONDS.toNanos(4);

	/**
	 * Every so many beats all entry VMs are told of, often enough for those who would
	 * take a silent one for lost.
	 */
	private static final int COMPLETE_BEATS = 4;

	private final FleetLinks links;

	private final EventLoop loop;

	private final ReplicaPort replica;

	private final TargetTable targets = new TargetTable();

	private final EntryTable entries = new EntryTable();

	private final Set<VmId> controlVms = new HashSet<>();

	private final StatePushScheduler statePushes = new StatePushScheduler();

	private final Map<VmId, Integer> ranks = new HashMap<>();

	private byte[] encodedState = new byte[0];

	private final LoadExchange loads;

	private final Followers followers = new Followers();

	private final EntryReportSelector entryNews = new EntryReportSelector(COMPLETE_BEATS);

	private DeclaredState state = DeclaredState.NONE;

	private long repeatedNanos;

	private long beats;

	/**
	 * Creates the control VM's part.
	 * @param links the links
	 * @param loop the VM's event loop
	 * @param replica the replica of the declared state
	 */
	public ControlFleet(FleetLinks links, EventLoop loop, ReplicaPort replica) {
		this.links = links;
		this.loop = loop;
		this.replica = replica;
		this.loads = new LoadExchange(links, loop);
	}

	/**
	 * Begins to beat.
	 */
	public void start() {
		this.loop.scheduleAtFixedRate(this::tick, 0, BEAT_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void tick() {
		this.links.tick();
		long now = System.nanoTime();
		Set<VmId> following = this.followers.fresh(now);
		byte[] plain = beat(List.of());
		byte[] withEntries = beat(this.entryNews.selectNext(this.entries.fresh(now)));
		this.beats++;
		for (PeerIdentity peer : this.links.allPeers()) {
			if (following.contains(peer.vm())) {
				this.links.send(peer.vm(), withEntries);
			}
			else if (Followers.isTurnOfOthers(this.beats)) {
				this.links.send(peer.vm(), plain);
			}
		}
		if (now - this.repeatedNanos > REPEAT_NANOS) {
			this.repeatedNanos = now;
			tellTargets(this.targets.reports(now),
					(peer) -> this.links.isControl(peer.vm()) || following.contains(peer.vm()));
		}
	}

	private byte[] beat(List<EntryReport> told) {
		return FleetLinks.encode(new FleetNews.ControlBeat(this.state.index(), this.links.controlAddresses(), told));
	}

	// an entry VM sends only to the targets of its own region
	private void tellTargets(List<TargetReport> reports, Predicate<PeerIdentity> receivers) {
		Map<Boolean, List<PeerIdentity>> told = this.links.allPeers()
			.stream()
			.filter(receivers)
			.collect(Collectors.partitioningBy((peer) -> this.links.isControl(peer.vm())));
		tell(reports, told.get(true));
		told.get(false)
			.stream()
			.collect(Collectors.groupingBy(PeerIdentity::region))
			.forEach((region, peers) -> tell(near(reports, region), peers));
	}

	private void tell(List<TargetReport> reports, List<PeerIdentity> receivers) {
		if (!reports.isEmpty() && !receivers.isEmpty()) {
			byte[] encoded = FleetLinks.encode(new FleetNews.Targets(reports));
			receivers.forEach((peer) -> this.links.send(peer.vm(), encoded));
		}
	}

	private List<TargetReport> near(List<TargetReport> reports, RegionId region) {
		return reports.stream()
			.filter((report) -> this.links.regionOf(report.dataCentre()).map(region::equals).orElse(true))
			.toList();
	}

	/**
	 * Takes a new declared state.
	 * @param changed the state
	 */
	public void declared(DeclaredState changed) {
		if (changed.index() <= this.state.index()) {
			return;
		}
		this.state = changed;
		EventLog.write(EventKind.DECLARED, "version", changed.version(), "index", changed.index(), "evacuated",
				changed.evacuated());
		this.encodedState = FleetLinks.encode(new FleetNews.Declared(changed));
		long now = System.nanoTime();
		this.statePushes.stateChanged(changed.index(), now);
		this.ranks.forEach((vm, rank) -> pushState(vm, rank, 0));
	}

	private void pushState(VmId vm, int rank, long knownIndex) {
		if (this.statePushes.isDue(vm, rank, knownIndex, System.nanoTime())) {
			this.links.send(vm, this.encodedState);
		}
	}

	/**
	 * Takes a report that came from a target itself.
	 * @param report the report
	 */
	public void reported(TargetReport report) {
		publish(this.targets.merge(report, System.nanoTime()));
	}

	/**
	 * Notes that a target has left.
	 * @param target the target
	 */
	public void left(TargetId target) {
		this.targets.markGone(target, System.nanoTime()).ifPresent((gone) -> publish(List.of(gone)));
	}

	private void publish(List<TargetReport> changes) {
		if (changes.isEmpty()) {
			return;
		}
		changes.forEach(ControlFleet::logChange);
		tellTargets(changes, (peer) -> true);
	}

	static void logChange(TargetReport report) {
		EventLog.write(EventKind.TARGET_CHANGED, "target", report.target(), "condition", report.condition(), "service",
				report.service(), "address", report.address(), "born", report.startedMillis(), "sequence",
				report.sequence(), "coldMillis", report.warmUpRemainingMillis());
	}

	/**
	 * Returns the entry VMs heard of lately.
	 * @return their last reports
	 */
	public List<EntryReport> entries() {
		return this.entries.fresh(System.nanoTime());
	}

	@Override
	public void connected(PeerIdentity peer, boolean control) {
		if (control && this.controlVms.add(peer.vm())) {
			this.replica.setControlVms(this.controlVms);
		}
		tellTargets(this.targets.reports(System.nanoTime()), (other) -> other.vm().equals(peer.vm()));
	}

	@Override
	public void disconnected(PeerIdentity peer) {
		this.statePushes.remove(peer.vm());
		this.ranks.remove(peer.vm());
		this.loads.forget(peer.vm());
	}

	@Override
	public void onNews(VmId sender, FleetNews news) {
		if (news instanceof FleetNews.EntryBeat beat) {
			this.entries.heard(beat.entry(), System.nanoTime());
			this.followers.told(sender, Followers.follows(beat.rank()), System.nanoTime());
			this.ranks.put(sender, beat.rank());
			pushState(sender, beat.rank(), beat.declaredIndex());
		}
		else if (news instanceof FleetNews.EntryLoads told) {
			this.links.peer(sender).ifPresent((peer) -> this.loads.told(peer, told));
		}
		else if (news instanceof FleetNews.ControlBeat beat) {
			beat.controlAddresses().forEach(this.links::told);
		}
		else if (news instanceof FleetNews.Targets told) {
			long now = System.nanoTime();
			told.reports().forEach((report) -> publishToEntries(this.targets.merge(report, now)));
		}
	}

	// an entry VM may have a link to this control VM only
	private void publishToEntries(List<TargetReport> changes) {
		if (!changes.isEmpty()) {
			tellTargets(changes, (peer) -> !this.links.isControl(peer.vm()));
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
	 * What the fleet needs of the replica of the declared state.
	 */
	public interface ReplicaPort {

		/**
		 * Sets the VMs that may hold a replica.
		 * @param vms the control VMs known
		 */
		void setControlVms(Set<VmId> vms);

		/**
		 * Takes a message of another replica.
		 * @param from the VM that sent it
		 * @param message the bytes
		 */
		void receive(VmId from, byte[] message);

		/**
		 * Carries out a call of another control VM.
		 * @param payload the call's bytes
		 * @return the reply's bytes
		 */
		CompletableFuture<byte[]> call(byte[] payload);

	}

}
