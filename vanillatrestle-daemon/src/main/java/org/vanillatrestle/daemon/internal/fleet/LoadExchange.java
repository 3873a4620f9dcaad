package org.vanillatrestle.daemon.internal.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.fleet.LoadTable;
import org.vanillatrestle.wire.FleetNews;
import org.vanillatrestle.wire.PeerIdentity;

/**
 * Tells the entry VMs of a region what the others have in flight.
 * <p>
 * Changes are gathered for a moment, urgent ones for a shorter one. Used on the VM's
 * event loop.
 */
final class LoadExchange {

	/**
	 * How long changes are gathered, as long as entry VMs gather theirs; other times were
	 * not tried.
	 */
	private static final long GATHER_MILLIS = 100;

	private static final long URGENT_GATHER_MILLIS = 3;

	private final FleetLinks links;

	private final EventLoop loop;

	private final LoadTable loads = new LoadTable();

	private final Followers followers = new Followers();

	private final Map<RegionId, Future<?>> waiting = new HashMap<>();

	private final Map<RegionId, Future<?>> waitingUrgently = new HashMap<>();

	LoadExchange(FleetLinks links, EventLoop loop) {
		this.links = links;
		this.loop = loop;
	}

	/**
	 * Takes what an entry VM told.
	 * @param sender the VM
	 * @param told what it has in flight
	 */
	void told(PeerIdentity sender, FleetNews.EntryLoads told) {
		long now = System.nanoTime();
		this.loads.update(sender.vm(), sender.region(), told.loads(), now);
		this.followers.told(sender.vm(), told.follows(), now);
		Map<RegionId, Future<?>> gathering = told.urgent() ? this.waitingUrgently : this.waiting;
		long millis = told.urgent() ? URGENT_GATHER_MILLIS : GATHER_MILLIS;
		gathering.computeIfAbsent(sender.region(),
				(region) -> this.loop.schedule(() -> tell(region), millis, TimeUnit.MILLISECONDS));
	}

	void forget(VmId vm) {
		this.loads.remove(vm);
	}

	private void tell(RegionId region) {
		cancel(this.waiting.remove(region));
		cancel(this.waitingUrgently.remove(region));
		long now = System.nanoTime();
		Set<VmId> following = this.followers.fresh(now);
		for (PeerIdentity peer : this.links.allPeers()) {
			if (peer.region().equals(region) && following.contains(peer.vm())) {
				this.links.send(peer.vm(),
						FleetLinks.encode(new FleetNews.RegionLoads(this.loads.totalOfOthers(peer.vm(), region, now))));
			}
		}
	}

	private static void cancel(Future<?> task) {
		if (task != null) {
			task.cancel(false);
		}
	}

}
