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
 * What the entry VMs of all regions last told that they have in flight.
 * <p>
 * Invariant: a VM's own load is never part of what it is told of the others. Not thread
 * safe.
 */
public final class LoadTable {

	/**
	 * After this silence a VM's load doesn't count any more; loads are told several times
	 * in it.
	 */
	private static final long FRESH_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

	private final Map<VmId, Row> rows = new HashMap<>();

	/**
	 * Takes what a VM has in flight.
	 * @param vm the VM
	 * @param region its region
	 * @param loads the loads; targets not named have none
	 * @param nowNanos the monotonic time
	 */
	public void told(VmId vm, RegionId region, List<FlightLoad> loads, long nowNanos) {
		this.rows.put(vm, new Row(region, List.copyOf(loads), nowNanos));
	}

	/**
	 * Forgets a VM.
	 * @param vm the VM
	 */
	public void forget(VmId vm) {
		this.rows.remove(vm);
	}

	/**
	 * Adds up what all other VMs of a region have in flight.
	 * @param receiver the VM that is left out
	 * @param region the region
	 * @param nowNanos the monotonic time
	 * @return the loads by target; targets not named have none
	 */
	public List<FlightLoad> others(VmId receiver, RegionId region, long nowNanos) {
		this.rows.values().removeIf((row) -> nowNanos - row.nanos > FRESH_NANOS);
		Map<TargetId, FlightLoad> sums = new TreeMap<>();
		this.rows.forEach((vm, row) -> {
			if (row.region.equals(region) && !vm.equals(receiver)) {
				long ageNanos = nowNanos - row.nanos;
				row.loads.forEach((load) -> sums.merge(load.target(), load.fadedBy(ageNanos), FlightLoad::plus));
			}
		});
		return List.copyOf(sums.values());
	}

	private record Row(RegionId region, List<FlightLoad> loads, long nanos) {
	}

}
