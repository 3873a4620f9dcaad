package org.vanillatrestle.internal.gateway;

import java.util.SortedSet;

import org.vanillatrestle.TargetId;
import org.vanillatrestle.VmId;

/**
 * Divides what a cold target tolerates among the VMs of its region, without messages.
 * <p>
 * All VMs that know the same members arrive at parts whose sum is the bound. Immutable
 * and thread safe.
 *
 * @param factor what the bound on requests a second is multiplied by
 * @param slack the requests allowed besides
 */
public record ColdShare(double factor, double slack) {

	/**
	 * The part of the bound that is divided; the rest covers VMs that know other members.
	 */
	private static final double DIVIDED_PART = 0.7;

	/**
	 * Returns this VM's part.
	 * @param warmupPerSecond the requests a second that the target tolerates
	 * @param target the target
	 * @param self this VM
	 * @param members the entry VMs of the region as the control VMs tell them; as long as
	 * they don't tell of this one, it has no part
	 * @return the requests that this VM may send within a second
	 */
	public int part(double warmupPerSecond, TargetId target, VmId self, SortedSet<VmId> members) {
		int total = (int) Math.floor((warmupPerSecond * this.factor + this.slack) * DIVIDED_PART);
		if (!members.contains(self)) {
			return 0;
		}
		int count = members.size();
		long ownRank = members.stream().filter((vm) -> weight(vm, target) < weight(self, target)).count();
		return total / count + ((ownRank < total % count) ? 1 : 0);
	}

	private static long weight(VmId vm, TargetId target) {
		long mixed = (vm.value() + '/' + target.value()).hashCode() * 0x9E3779B97F4A7C15L;
		return mixed ^ (mixed >>> 32);
	}

}
