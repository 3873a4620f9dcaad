package org.vanillatrestle.daemon.internal.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.apache.commons.rng.UniformRandomProvider;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.VmId;
import org.vanillatrestle.daemon.internal.logging.EventKind;
import org.vanillatrestle.daemon.internal.logging.EventLog;
import org.vanillatrestle.internal.declaration.DeclaredRoute;
import org.vanillatrestle.internal.fleet.EntryReport;
import org.vanillatrestle.internal.fleet.ServiceWait;
import org.vanillatrestle.internal.target.TargetAddress;

/**
 * The entry VMs of other regions, to which a request may be sent once.
 * <p>
 * Used on the VM's event loop.
 */
final class RemoteEntries {

	/**
	 * What the way to another region and back adds to the time until an answer begins.
	 */
	private static final long WAY_MILLIS = 200;

	private static final double PERCENT = 100;

	private static final long AVOID_NANOS = TimeUnit.SECONDS.toNanos(2);

	private final RegionId ownRegion;

	private final UniformRandomProvider random;

	/**
	 * So many VMs of a region that can't be reached show that the region can't: one may
	 * be down.
	 */
	private static final int UNREACHABLE_VMS = 2;

	private final Map<VmId, Long> avoidedNanos = new HashMap<>();

	private final Map<RegionId, Map<VmId, Long>> unreachableNanos = new HashMap<>();

	private List<EntryReport> entries = List.of();

	RemoteEntries(RegionId ownRegion, UniformRandomProvider random) {
		this.ownRegion = ownRegion;
		this.random = random;
	}

	void update(List<EntryReport> fresh) {
		this.entries = fresh.stream()
			.filter((entry) -> entry.ready() && !entry.region().equals(this.ownRegion))
			.toList();
	}

	/**
	 * Notes that a VM could not be reached or broke off.
	 * @param vm the VM
	 * @param region its region
	 * @param unreachable whether it could not be reached
	 */
	void failed(VmId vm, RegionId region, boolean unreachable) {
		long now = System.nanoTime();
		forgetOld(now);
		this.avoidedNanos.put(vm, now);
		if (!unreachable) {
			return;
		}
		boolean before = isUnreachable(region);
		Map<VmId, Long> vms = this.unreachableNanos.computeIfAbsent(region, (key) -> new HashMap<>());
		vms.put(vm, now);
		if (!before && isUnreachable(region)) {
			EventLog.write(EventKind.REGION_UNREACHABLE, "region", region, "vms", vms.keySet(), "avoidedMillis",
					TimeUnit.NANOSECONDS.toMillis(AVOID_NANOS));
		}
	}

	private void forgetOld(long now) {
		this.avoidedNanos.values().removeIf((since) -> now - since > AVOID_NANOS);
		this.unreachableNanos.values().forEach((vms) -> vms.values().removeIf((since) -> now - since > AVOID_NANOS));
	}

	private boolean isUnreachable(RegionId region) {
		return this.unreachableNanos.getOrDefault(region, Map.of()).size() >= UNREACHABLE_VMS;
	}

	/**
	 * Chooses the VM where a request's answer is expected to begin first.
	 * @param route the route, whose homes bind
	 * @param service the service
	 * @param tried the VMs that the request was sent to already
	 * @return the choice, empty if no VM has room
	 */
	Optional<RemoteChoice> choose(DeclaredRoute route, ServiceName service, Set<VmId> tried) {
		forgetOld(System.nanoTime());
		List<RemoteChoice> best = new ArrayList<>();
		long bestWait = Long.MAX_VALUE;
		for (EntryReport entry : this.entries) {
			boolean usable = route.allows(entry.region()) && !tried.contains(entry.vm())
					&& !this.avoidedNanos.containsKey(entry.vm()) && !isUnreachable(entry.region());
			Optional<ServiceWait> told = usable ? waitOf(entry, service) : Optional.empty();
			long wait = told.map(ServiceWait::waitMillis).orElse(-1L);
			if (wait < 0 || wait > bestWait) {
				continue;
			}
			if (wait < bestWait) {
				best.clear();
				bestWait = wait;
			}
			best.add(new RemoteChoice(entry.vm(), entry.region(), address(entry), wait + WAY_MILLIS,
					told.get().readingPercent() / PERCENT));
		}
		return best.isEmpty() ? Optional.empty() : Optional.of(best.get(this.random.nextInt(best.size())));
	}

	private static Optional<ServiceWait> waitOf(EntryReport entry, ServiceName service) {
		return entry.waits().stream().filter((wait) -> wait.service().equals(service)).findFirst();
	}

	private static TargetAddress address(EntryReport entry) {
		String address = entry.forwardAddress();
		int colon = address.lastIndexOf(':');
		return new TargetAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
	}

	/**
	 * A VM that was chosen.
	 *
	 * @param vm the VM
	 * @param region its region
	 * @param address where it takes requests from other VMs
	 * @param waitMillis the estimated time until the answer begins
	 * @param readingShare how much of the time its least busy target reads prompts
	 */
	record RemoteChoice(VmId vm, RegionId region, TargetAddress address, long waitMillis, double readingShare) {
	}

}
