package org.vanillatrestle.daemon.internal.fleet;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.declaration.DeclaredState;
import org.vanillatrestle.internal.fleet.EntryReport;
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

	private final FleetLinks links;

	private final EventLoop loop;

	private final Supplier<EntryReport> ownReport;

	private final Follower follower;

	private final TargetTable targets = new TargetTable();

	private final EntryTable entries = new EntryTable();

	private DeclaredState state = DeclaredState.NONE;

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
	}

	private void tick() {
		this.links.tick();
		this.follower.entriesChanged(this.entries.fresh(System.nanoTime()));
		beat();
	}

	/**
	 * Tells the control VMs of this VM now.
	 */
	public void beat() {
		byte[] beat = FleetLinks.encode(new FleetNews.EntryBeat(this.ownReport.get(), this.state.index()));
		this.links.controlPeers().forEach((peer) -> this.links.send(peer.vm(), beat));
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
		 * The entry VMs heard of lately.
		 * @param entries their last reports
		 */
		void entriesChanged(List<EntryReport> entries);

	}

}
