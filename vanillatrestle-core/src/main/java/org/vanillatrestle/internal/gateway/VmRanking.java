package org.vanillatrestle.internal.gateway;

import java.util.SortedSet;

import org.vanillatrestle.TargetId;
import org.vanillatrestle.VmId;

/**
 * Ranks VMs by a hash of VM and target, so that VMs that know the same members agree on
 * the order without exchanging messages, and each target has an order of its own.
 * <p>
 * Stateless and thread safe.
 */
final class VmRanking {

	private VmRanking() {
	}

	/**
	 * Returns the rank of a VM.
	 * @param vm the VM
	 * @param target the target
	 * @param members the VMs that are ranked
	 * @return the number of members that come before the VM
	 */
	static int rank(VmId vm, TargetId target, SortedSet<VmId> members) {
		long own = weight(vm, target);
		return (int) members.stream().filter((member) -> weight(member, target) < own).count();
	}

	private static long weight(VmId vm, TargetId target) {
		long mixed = (vm.value() + '/' + target.value()).hashCode() * 0x9E3779B97F4A7C15L;
		return mixed ^ (mixed >>> 32);
	}

}
