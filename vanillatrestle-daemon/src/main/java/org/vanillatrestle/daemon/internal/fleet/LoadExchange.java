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
 * Sends each entry VM of a region the total in-flight loads of the region's other entry
 * VMs.
 * <p>
 * Updates are batched for a short time, urgent updates for a shorter one. Confined to the
 * VM's event loop.
 */
final class LoadExchange {

	/**
	 * How long updates are batched; equal to the interval at which entry VMs send theirs.
	 */
	private static final long BATCH_DELAY_MILLIS = 100;

	private static final long URGENT_BATCH_DELAY_MILLIS = 3;

	private final FleetLinks links;

	private final EventLoop loop;

	private final LoadTable loads = new LoadTable();

	private final Followers followers = new Followers();

	private final Map<RegionId, Future<?>> scheduled = new HashMap<>();

	private final Map<RegionId, Future<?>> scheduledUrgent = new HashMap<>();

	LoadExchange(FleetLinks links, EventLoop loop) {
		this.links = links;
		this.loop = loop;
	}

	/**
	 * Processes the in-flight loads of an entry VM.
	 * @param sender the entry VM
	 * @param update its in-flight loads
	 */
	void update(PeerIdentity sender, FleetNews.EntryLoads update) {
		long now = System.nanoTime();
		this.loads.update(sender.vm(), sender.region(), update.loads(), now);
		this.followers.update(sender.vm(), update.follows(), now);
		Map<RegionId, Future<?>> batches = update.urgent() ? this.scheduledUrgent : this.scheduled;
		long millis = update.urgent() ? URGENT_BATCH_DELAY_MILLIS : BATCH_DELAY_MILLIS;
		batches.computeIfAbsent(sender.region(),
				(region) -> this.loop.schedule(() -> sendLoads(region), millis, TimeUnit.MILLISECONDS));
	}

	void remove(VmId vm) {
		this.loads.remove(vm);
	}

	private void sendLoads(RegionId region) {
		cancel(this.scheduled.remove(region));
		cancel(this.scheduledUrgent.remove(region));
		long now = System.nanoTime();
		Set<VmId> following = this.followers.currentFollowers(now);
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
