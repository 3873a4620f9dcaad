package org.vanillatrestle.internal.gateway;

import java.util.SortedSet;

import org.vanillatrestle.VmId;

/**
 * Ranks VMs by a hash of VM and subject, such as a target, so that VMs that know the same
 * members agree on the order without exchanging messages, and each subject has an order
 * of its own.
 * <p>
 * Stateless and thread safe.
 */
public final class VmRanking {

	private VmRanking() {
	}

	/**
	 * Returns the rank of a VM.
	 * @param vm the VM
	 * @param subject what the VMs are ranked for
	 * @param members the VMs that are ranked
	 * @return the number of members that come before the VM
	 */
	public static int rank(VmId vm, String subject, SortedSet<VmId> members) {
		long own = weight(vm, subject);
		return (int) members.stream().filter((member) -> weight(member, subject) < own).count();
	}

	private static long weight(VmId vm, String subject) {
		long mixed = (vm.value() + '/' + subject).hashCode() * 0x9E3779B97F4A7C15L;
		return mixed ^ (mixed >>> 32);
	}

}
