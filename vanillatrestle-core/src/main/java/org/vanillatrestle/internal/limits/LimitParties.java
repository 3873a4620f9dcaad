package org.vanillatrestle.internal.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.vanillatrestle.Contract;
import org.vanillatrestle.ContractService;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.VmId;

/**
 * The VMs among which limits are divided, as settings name them; every VM must be given
 * the same.
 * <p>
 * Immutable and thread safe. The own shares of all VMs together never exceed the limit: a
 * contract's limit is divided equally among its regions, and a region's part among the
 * region's VMs.
 */
public final class LimitParties {

	private final Map<RegionId, List<VmId>> vms = new TreeMap<>();

	/**
	 * Creates the parties.
	 * @param vms the VMs of all data centres by region
	 */
	public LimitParties(Map<RegionId, List<VmId>> vms) {
		vms.forEach((region, members) -> this.vms.put(region, members.stream().distinct().sorted().toList()));
	}

	/**
	 * Returns a VM's own share of a service's limits.
	 * @param contract the contract
	 * @param service one of its services
	 * @param region the VM's region
	 * @param vm the VM
	 * @return the share, none if the region is not allowed or the VM not named
	 */
	public LimitShare ownShare(Contract contract, ContractService service, RegionId region, VmId vm) {
		List<RegionId> regions = contract.allowedRegions().stream().sorted().toList();
		int regionIndex = regions.indexOf(region);
		List<VmId> members = this.vms.getOrDefault(region, List.of());
		int vmIndex = members.indexOf(vm);
		if (regionIndex < 0 || vmIndex < 0) {
			return LimitShare.NONE;
		}
		return LimitShare.of(service).part(regions.size(), regionIndex).part(members.size(), vmIndex);
	}

	/**
	 * Lists the VMs that may lend to a VM, those of its region first.
	 * @param region the VM's region
	 * @param vm the VM
	 * @return the other VMs
	 */
	public List<VmId> others(RegionId region, VmId vm) {
		List<VmId> result = new ArrayList<>(this.vms.getOrDefault(region, List.of()));
		this.vms.forEach((other, members) -> {
			if (!other.equals(region)) {
				result.addAll(members);
			}
		});
		result.remove(vm);
		return result;
	}

}
