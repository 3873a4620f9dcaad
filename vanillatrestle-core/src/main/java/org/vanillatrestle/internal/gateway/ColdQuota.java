package org.vanillatrestle.internal.gateway;

import java.util.SortedSet;

import org.vanillatrestle.TargetId;
import org.vanillatrestle.VmId;

/**
 * Divides the requests that a cold target tolerates among the entry VMs of its region.
 * <p>
 * The VMs exchange no messages for this: those that know the same members compute quotas
 * that add up to the divided part of the limit. Immutable and thread safe.
 *
 * @param factor the factor applied to the requests per second that a target tolerates
 * @param slack the requests per second allowed in addition
 */
public record ColdQuota(double factor, double slack) {

	/**
	 * The fraction of the limit that is divided. The rest is a reserve for VMs that know
	 * a different set of members.
	 */
	private static final double DIVIDED_FRACTION = 0.7;

	/**
	 * Returns this VM's quota.
	 * @param warmupPerSecond the requests per second that the cold target tolerates
	 * @param target the target
	 * @param self this VM
	 * @param members the entry VMs of the region as reported by the control VMs; this VM
	 * has a quota of 0 until it is among them
	 * @return the requests that this VM may send to the target within a second
	 */
	public int quota(double warmupPerSecond, TargetId target, VmId self, SortedSet<VmId> members) {
		int total = (int) Math.floor((warmupPerSecond * this.factor + this.slack) * DIVIDED_FRACTION);
		if (!members.contains(self)) {
			return 0;
		}
		int count = members.size();
		return total / count + ((VmRanking.rank(self, target.value(), members) < total % count) ? 1 : 0);
	}

}
