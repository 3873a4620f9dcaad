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
 * The VMs among which the limits of contracts are divided. They are named in the
 * settings, which must name the same VMs at every VM.
 * <p>
 * A contract's limit is divided equally among the contract's regions, and the part of a
 * region equally among the region's VMs. The own shares of all VMs together therefore
 * never exceed the limit. Immutable and thread safe.
 */
public final class LimitMembers {

	private final Map<RegionId, List<VmId>> vmsByRegion = new TreeMap<>();

	/**
	 * Creates the members from the given VMs.
	 * @param vmsByRegion the VMs of all data centres by region
	 */
	public LimitMembers(Map<RegionId, List<VmId>> vmsByRegion) {
		vmsByRegion.forEach(
				(region, regionVms) -> this.vmsByRegion.put(region, regionVms.stream().distinct().sorted().toList()));
	}

	/**
	 * Returns the share of a service's limits that a VM owns without any loan.
	 * @param contract the contract
	 * @param service one of the contract's services
	 * @param region the VM's region
	 * @param vm the VM
	 * @return the share, {@link LimitShare#NONE} if the contract does not allow the
	 * region or the settings do not name the VM
	 */
	public LimitShare ownShare(Contract contract, ContractService service, RegionId region, VmId vm) {
		List<RegionId> regions = contract.allowedRegions().stream().sorted().toList();
		int regionIndex = regions.indexOf(region);
		List<VmId> regionVms = this.vmsByRegion.getOrDefault(region, List.of());
		int vmIndex = regionVms.indexOf(vm);
		if (regionIndex < 0 || vmIndex < 0) {
			return LimitShare.NONE;
		}
		return LimitShare.of(service).equalPart(regions.size(), regionIndex).equalPart(regionVms.size(), vmIndex);
	}

	/**
	 * Returns the VMs from which a VM may request loans, starting with those of its
	 * region.
	 * @param region the VM's region
	 * @param vm the VM
	 * @return all VMs except the given one
	 */
	public List<VmId> otherVms(RegionId region, VmId vm) {
		List<VmId> result = new ArrayList<>(this.vmsByRegion.getOrDefault(region, List.of()));
		this.vmsByRegion.forEach((otherRegion, regionVms) -> {
			if (!otherRegion.equals(region)) {
				result.addAll(regionVms);
			}
		});
		result.remove(vm);
		return result;
	}

}
