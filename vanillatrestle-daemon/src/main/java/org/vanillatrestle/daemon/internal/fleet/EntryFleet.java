package org.vanillatrestle.daemon.internal.fleet;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.declaration.DeclaredState;
import org.vanillatrestle.internal.fleet.EntryReport;
import org.vanillatrestle.internal.fleet.InFlightLoad;
import org.vanillatrestle.internal.fleet.LoadUpdateScheduler;
import org.vanillatrestle.internal.fleet.TargetReport;
import org.vanillatrestle.internal.fleet.TargetTable;
import org.vanillatrestle.wire.FleetNews;
import org.vanillatrestle.wire.PeerIdentity;

/**
 * An entry VM's part in the fleet: it tells of itself and follows what control VMs tell.
 * <p>
 * Used on the VM's event loop. The declared state never goes back.
 */
public final class EntryFleet implements FleetListener {

	private static final long BEAT_MILLIS = 250;

	/**
	 * How often loads are told while they change.
	 */
	private static final long LOADS_MILLIS = 100;

	/**
	 * After this silence the loads of the other VMs are unknown.
	 */
	private static final long LOADS_FRESH_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

	private final FleetLinks links;

	private final EventLoop loop;

	private final Supplier<EntryReport> ownReport;

	private final Follower follower;

	private final TargetTable targets = new TargetTable();

	private final EntryTable entries = new EntryTable();

	private DeclaredState state = DeclaredState.NONE;

	private final LoadUpdateScheduler loadNews = new LoadUpdateScheduler(System.nanoTime());

	private long beats;

	private long heardLoadsNanos = System.nanoTime();

	/**
	 * Creates the entry VM's part.
	 * @param links the links
	 * @param loop the VM's event loop
	 * @param ownReport tells of this VM
	 * @param follower hears what changed
	 */
	public EntryFleet(FleetLinks links, EventLoop loop, Supplier<EntryReport> ownReport, Follower follower) {
		this.links = links;
		this.loop = loop;
		this.ownReport = ownReport;
		this.follower = follower;
	}

	/**
	 * Begins to beat.
	 */
	public void start() {
		this.loop.scheduleAtFixedRate(this::tick, 0, BEAT_MILLIS, TimeUnit.MILLISECONDS);
		this.loop.scheduleAtFixedRate(this::tellLoadsIfDue, LOADS_MILLIS, LOADS_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void tick() {
		this.links.tick();
		this.follower.entriesChanged(this.entries.fresh(System.nanoTime()));
		this.beats++;
		beat(Followers.isTurnOfOthers(this.beats));
	}

	/**
	 * Tells the control VMs of this VM now.
	 */
	public void beat() {
		beat(true);
	}

	private void beat(boolean all) {
		EntryReport report = this.ownReport.get();
		int rank = 0;
		for (PeerIdentity peer : this.links.nearestControlPeers()) {
			if (all || Followers.follows(rank)) {
				this.links.send(peer.vm(),
						FleetLinks.encode(new FleetNews.EntryBeat(report, this.state.index(), rank)));
			}
			rank++;
		}
	}

	private void tellLoadsIfDue() {
		long now = System.nanoTime();
		if (now - this.heardLoadsNanos > LOADS_FRESH_NANOS) {
			this.heardLoadsNanos = now;
			this.follower.otherLoadsChanged(List.of());
		}
		List<InFlightLoad> loads = this.follower.loads();
		if (this.loadNews.isDue(loads, now)) {
			tellLoads(loads, false);
		}
	}

	/**
	 * Tells what this VM has in flight now, so that the other VMs know at once.
	 */
	public void tellLoadsUrgently() {
		tellLoads(this.follower.loads(), true);
	}

	/**
	 * Notes that a target said in an answer that it is leaving, and tells the others.
	 * @param target the target
	 * @param bornMillis when the incarnation that answered started, in Unix time
	 */
	public void targetLeaves(TargetId target, long bornMillis) {
		this.targets.markDraining(target, bornMillis, System.nanoTime()).ifPresent((report) -> {
			ControlFleet.logChange(report);
			this.follower.targetChanged(report);
			byte[] news = FleetLinks.encode(new FleetNews.Targets(List.of(report)));
			this.links.controlPeers().forEach((peer) -> this.links.send(peer.vm(), news));
		});
	}

	private void tellLoads(List<InFlightLoad> loads, boolean urgent) {
		this.loadNews.recordSent(loads, System.nanoTime());
		List<PeerIdentity> nearest = this.links.nearestControlPeers();
		for (int i = 0; i < nearest.size(); i++) {
			if (i == 0 || this.links.isNear(nearest.get(i))) {
				this.links.send(nearest.get(i).vm(),
						FleetLinks.encode(new FleetNews.EntryLoads(loads, i == 0, urgent)));
			}
		}
	}

	@Override
	public void connected(PeerIdentity peer, boolean control) {
		beat();
	}

	@Override
	public void disconnected(PeerIdentity peer) {
		// what the peer told holds until another VM tells otherwise
	}

	@Override
	public void onNews(VmId sender, FleetNews news) {
		long now = System.nanoTime();
		if (news instanceof FleetNews.ControlBeat beat) {
			beat.controlAddresses().forEach(this.links::told);
			beat.entries().forEach((entry) -> this.entries.heard(entry, now));
		}
		else if (news instanceof FleetNews.RegionLoads told) {
			this.heardLoadsNanos = now;
			this.follower.otherLoadsChanged(told.loads());
		}
		else if (news instanceof FleetNews.Targets told) {
			for (TargetReport report : told.reports()) {
				List<TargetReport> changes = this.targets.merge(report, now);
				changes.forEach(ControlFleet::logChange);
				changes.forEach(this.follower::targetChanged);
			}
		}
		else if (news instanceof FleetNews.Declared declared && declared.state().index() > this.state.index()
				&& declared.state().version() >= this.state.version()) {
			if (this.follower.declared(declared.state())) {
				this.state = declared.state();
			}
		}
	}

	/**
	 * Hears what changed in the fleet.
	 */
	public interface Follower {

		/**
		 * A target's report changed.
		 * @param report the report
		 */
		void targetChanged(TargetReport report);

		/**
		 * A newer declared state has come.
		 * @param state the state
		 * @return whether it is in force now
		 */
		boolean declared(DeclaredState state);

		/**
		 * What this VM has in flight.
		 * @return the loads; targets not named have none
		 */
		List<InFlightLoad> loads();

		/**
		 * The other entry VMs of the region told what they have in flight.
		 * @param loads the loads; targets not named have none
		 */
		void otherLoadsChanged(List<InFlightLoad> loads);

		/**
		 * The entry VMs heard of lately.
		 * @param entries their last reports
		 */
		void entriesChanged(List<EntryReport> entries);

	}

}
