package org.vanillatrestle.internal.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.vanillatrestle.RegionId;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.VmId;

/**
 * The in-flight loads last reported by the entry VMs of all regions.
 * <p>
 * Invariant: the total computed for a VM never includes that VM's own load. Not thread
 * safe.
 */
public final class LoadTable {

	/**
	 * Age after which a VM's load is discarded. VMs report their load several times
	 * within this period.
	 */
	private static final long MAX_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

	private final Map<VmId, Row> rows = new HashMap<>();

	/**
	 * Replaces the load reported by a VM.
	 * @param vm the VM
	 * @param region its region
	 * @param loads the loads; a target that is not listed has no load
	 * @param nowNanos the monotonic time
	 */
	public void update(VmId vm, RegionId region, List<InFlightLoad> loads, long nowNanos) {
		this.rows.put(vm, new Row(region, List.copyOf(loads), nowNanos));
	}

	/**
	 * Removes the load of a VM.
	 * @param vm the VM
	 */
	public void remove(VmId vm) {
		this.rows.remove(vm);
	}

	/**
	 * Adds up the in-flight loads of all other VMs of a region.
	 * @param receiver the VM that receives the total and is not included in it
	 * @param region the region
	 * @param nowNanos the monotonic time
	 * @return the loads, ordered by target; a target that is not listed has no load
	 */
	public List<InFlightLoad> totalOfOthers(VmId receiver, RegionId region, long nowNanos) {
		this.rows.values().removeIf((row) -> nowNanos - row.receivedNanos > MAX_AGE_NANOS);
		Map<TargetId, InFlightLoad> sums = new TreeMap<>();
		this.rows.forEach((vm, row) -> {
			if (row.region.equals(region) && !vm.equals(receiver)) {
				long ageNanos = nowNanos - row.receivedNanos;
				row.loads.forEach((load) -> sums.merge(load.target(), load.decayedBy(ageNanos), InFlightLoad::plus));
			}
		});
		return List.copyOf(sums.values());
	}

	private record Row(RegionId region, List<InFlightLoad> loads, long receivedNanos) {
	}

}
