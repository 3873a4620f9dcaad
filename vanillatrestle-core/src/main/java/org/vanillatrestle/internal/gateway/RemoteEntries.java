package org.vanillatrestle.internal.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.apache.commons.rng.UniformRandomProvider;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.declaration.DeclaredRoute;
import org.vanillatrestle.internal.fleet.EntryReport;
import org.vanillatrestle.internal.fleet.ServiceWait;
import org.vanillatrestle.internal.target.TargetAddress;

/**
 * The entry VMs of other regions, to which a request may be forwarded once.
 * <p>
 * Handles the case that another region is cut off or loses some of its VMs while this
 * region's targets are full. A VM that can't be reached is ejected for a time and then
 * probed by one request at a time. A whole region is probed in the same way once two of
 * its VMs could not be reached and none of its VMs has answered since. Not thread safe.
 */
public final class RemoteEntries {

	/**
	 * The time that the round trip to another region adds to the wait for an answer.
	 */
	private static final long ROUND_TRIP_MILLIS = 200;

	private static final double PERCENT = 100;

	/**
	 * The first and the longest time for which a VM is ejected. A VM restarts within a
	 * second or two, and each attempt to reach one that is down costs a caller the
	 * connect timeout.
	 */
	private static final long FIRST_EJECTION_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private static final long LONGEST_EJECTION_NANOS = TimeUnit.SECONDS.toNanos(2);

	/**
	 * A region counts as unreachable once this many of its VMs could not be reached. A
	 * single unreachable VM may just be down.
	 */
	private static final int MIN_UNREACHABLE_VMS = 2;

	/**
	 * The cost added to a region to which other requests of the service are bound, when a
	 * VM is chosen for a request that may go to any region. It is less than the wait at
	 * busy targets, so that it only decides between regions with free capacity.
	 */
	private static final long BOUND_REGION_PENALTY_MILLIS = 150;

	private final RegionId ownRegion;

	private final UniformRandomProvider random;

	private final Map<VmId, VmState> vmStates = new HashMap<>();

	private final Map<RegionId, Set<VmId>> unreachableVms = new HashMap<>();

	private List<EntryReport> entries = List.of();

	private Map<ServiceName, Set<RegionId>> boundRegions = Map.of();

	/**
	 * Creates an empty set of VMs.
	 * @param ownRegion this VM's region
	 * @param random picks among VMs of equal cost
	 */
	public RemoteEntries(RegionId ownRegion, UniformRandomProvider random) {
		this.ownRegion = ownRegion;
		this.random = random;
	}

	/**
	 * Replaces the known entry VMs with those that reported recently, are ready and
	 * belong to other regions.
	 * @param fresh the reports of the VMs
	 */
	public void update(List<EntryReport> fresh) {
		this.entries = fresh.stream()
			.filter((entry) -> entry.ready() && !entry.region().equals(this.ownRegion))
			.toList();
		Set<VmId> known = new HashSet<>();
		this.entries.forEach((entry) -> known.add(entry.vm()));
		this.vmStates.entrySet()
			.removeIf((vmState) -> vmState.getValue().activeProbes == 0 && !known.contains(vmState.getKey()));
		this.unreachableVms.values().forEach((vms) -> vms.retainAll(known));
	}

	/**
	 * Sets the regions to which some requests are bound.
	 * @param changed the allowed regions of the routes of each service
	 */
	public void setBoundRegions(Map<ServiceName, Set<RegionId>> changed) {
		this.boundRegions = Map.copyOf(changed);
	}

	private VmState vmState(VmId vm) {
		return this.vmStates.computeIfAbsent(vm, (key) -> new VmState());
	}

	private boolean isUnreachable(RegionId region) {
		return this.unreachableVms.getOrDefault(region, Set.of()).size() >= MIN_UNREACHABLE_VMS;
	}

	private boolean isProbed(RegionId region) {
		return this.entries.stream()
			.anyMatch((entry) -> entry.region().equals(region) && vmState(entry.vm()).activeProbes > 0);
	}

	/**
	 * Chooses the VM where a request's answer is expected to begin first.
	 * @param route the route of the request; if it is bound to regions, only these are
	 * used
	 * @param service the service
	 * @param untried whether the request may still be sent to a VM
	 * @param nowNanos the monotonic time
	 * @return the choice, empty if no usable VM has free capacity
	 */
	public Optional<RemoteChoice> choose(DeclaredRoute route, ServiceName service, Predicate<EntryReport> untried,
			long nowNanos) {
		List<RemoteChoice> best = new ArrayList<>();
		long bestCost = Long.MAX_VALUE;
		for (EntryReport entry : this.entries) {
			boolean usable = route.allows(entry.region()) && untried.test(entry) && isUsable(entry, nowNanos);
			Optional<ServiceWait> reported = usable ? waitOf(entry, service) : Optional.empty();
			long wait = reported.map(ServiceWait::waitMillis).orElse(-1L);
			long cost = wait + (hasNoPenalty(route, service, entry.region()) ? 0 : BOUND_REGION_PENALTY_MILLIS);
			if (wait < 0 || cost > bestCost) {
				continue;
			}
			if (cost < bestCost) {
				best.clear();
				bestCost = cost;
			}
			best.add(new RemoteChoice(entry.vm(), entry.region(), address(entry), wait + ROUND_TRIP_MILLIS,
					reported.get().promptProcessingPercent() / PERCENT));
		}
		return best.isEmpty() ? Optional.empty() : Optional.of(best.get(this.random.nextInt(best.size())));
	}

	private boolean hasNoPenalty(DeclaredRoute route, ServiceName service, RegionId region) {
		return !route.allowedRegions().isEmpty() || !this.boundRegions.getOrDefault(service, Set.of()).contains(region);
	}

	private boolean isUsable(EntryReport entry, long nowNanos) {
		VmState vmState = vmState(entry.vm());
		if (vmState.health.isEjected(nowNanos) || (vmState.health.isProbing() && vmState.activeProbes > 0)) {
			return false;
		}
		return !isUnreachable(entry.region()) || !isProbed(entry.region());
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
	 * Counts a request that is being sent to the chosen VM.
	 * @param choice the chosen VM
	 * @return the request in flight
	 */
	public RemoteRequest begin(RemoteChoice choice) {
		return new RemoteRequest(choice);
	}

	/**
	 * The VM chosen for a request.
	 *
	 * @param vm the VM
	 * @param region the region of the VM
	 * @param address the address at which the VM accepts requests from other VMs
	 * @param waitMillis the estimated time in milliseconds until the answer begins
	 * @param harmfulReadingShare the share of its time that the VM's least busy target
	 * spends reading prompts, 0 if this does not delay the target's streams
	 */
	public record RemoteChoice(VmId vm, RegionId region, TargetAddress address, long waitMillis,
			double harmfulReadingShare) {
	}

	/**
	 * One request in flight at a VM of another region. It counts as in flight until the
	 * VM answers or fails, or the request is cancelled.
	 */
	public final class RemoteRequest {

		private final RemoteChoice choice;

		private final VmState vmState;

		private final boolean probe;

		private boolean ended;

		private RemoteRequest(RemoteChoice choice) {
			this.choice = choice;
			this.vmState = vmState(choice.vm());
			this.probe = this.vmState.health.isProbing() || isUnreachable(choice.region());
			this.vmState.activeProbes += this.probe ? 1 : 0;
		}

		public RemoteChoice choice() {
			return this.choice;
		}

		/**
		 * Notes that the VM has answered, whatever its answer.
		 */
		public void answered() {
			if (end()) {
				this.vmState.health.succeeded();
				RemoteEntries.this.unreachableVms.remove(this.choice.region());
			}
		}

		/**
		 * Notes that the VM could not be reached or broke the connection.
		 * @param unreached whether the VM could not be reached
		 * @param nowNanos the monotonic time
		 * @return whether this failure makes the VM's region count as unreachable
		 */
		public boolean failed(boolean unreached, long nowNanos) {
			if (!end()) {
				return false;
			}
			this.vmState.health.failed(unreached, nowNanos);
			if (!unreached) {
				return false;
			}
			boolean unreachableBefore = isUnreachable(this.choice.region());
			RemoteEntries.this.unreachableVms.computeIfAbsent(this.choice.region(), (key) -> new HashSet<>())
				.add(this.choice.vm());
			return !unreachableBefore && isUnreachable(this.choice.region());
		}

		/**
		 * Ends the request without any effect on the VM's health.
		 */
		public void cancelled() {
			end();
		}

		private boolean end() {
			boolean first = !this.ended;
			this.ended = true;
			if (first && this.probe) {
				this.vmState.activeProbes--;
			}
			return first;
		}

	}

	/**
	 * The health of a VM and its probes in flight.
	 */
	private static final class VmState {

		private final TargetHealth health = new TargetHealth(FIRST_EJECTION_NANOS, LONGEST_EJECTION_NANOS);

		private int activeProbes;

	}

}
