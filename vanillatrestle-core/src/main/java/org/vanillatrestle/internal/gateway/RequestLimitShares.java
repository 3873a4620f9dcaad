package org.vanillatrestle.internal.gateway;

import java.util.SortedSet;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

import org.vanillatrestle.TargetId;
import org.vanillatrestle.VmId;

/**
 * Divides the request rate that a target takes from all VMs together among the entry VMs
 * of its region.
 * <p>
 * The VMs exchange no messages for this: those that know the same members compute shares
 * that add up to the divided part of the limit. Each VM with a share sends at most one
 * request more than its share of any time. When a region is cut into two groups of VMs
 * that no longer know each other, both together still send at most {@code 6 * limit + 5}
 * requests in any 4 s. Not thread safe.
 */
final class RequestLimitShares {

	/**
	 * The fraction of the limit that is divided. The rest is a reserve for VMs that know
	 * a different set of members.
	 */
	private static final double DIVIDED_FRACTION = 0.7;

	/**
	 * A target that takes no requests still gets one now and then, because only an answer
	 * tells that the limit has been lifted.
	 */
	private static final double MIN_REQUESTS_PER_SECOND = 0.1;

	/**
	 * In a region of up to this many VMs, and of more for a higher limit, each VM has a
	 * share. In a larger region only some have, as each may send a request at any moment.
	 */
	private static final double MAX_VMS_WITH_EQUAL_SHARES = 5;

	private static final double MORE_VMS_PER_REQUEST_PER_SECOND = 0.4;

	/**
	 * A VM has no share until the others have had the time to learn of it and to reduce
	 * theirs.
	 */
	private static final long JOINING_NANOS = TimeUnit.SECONDS.toNanos(2);

	private final VmId self;

	private SortedSet<VmId> members = new TreeSet<>();

	// never decreases, as VMs that no longer report may still send requests
	private int largestCount;

	private long joinedNanos;

	RequestLimitShares(VmId self) {
		this.self = self;
	}

	/**
	 * Sets the entry VMs of the region as reported by the control VMs. A set without this
	 * VM is ignored: then this VM has lost touch with the control VMs, and the others
	 * still count it as a member or have done so recently.
	 * @param reported the VMs
	 * @param nowNanos the monotonic time
	 */
	void setMembers(SortedSet<VmId> reported, long nowNanos) {
		if (!reported.contains(this.self)) {
			return;
		}
		if (this.members.isEmpty()) {
			this.joinedNanos = nowNanos;
		}
		this.members = reported;
		this.largestCount = Math.max(this.largestCount, reported.size());
	}

	/**
	 * Returns this VM's share of a limit.
	 * @param target the target
	 * @param limitPerSecond the requests per second that the target takes from all VMs
	 * @param nowNanos the monotonic time
	 * @return the requests per second that this VM may send, 0 if it has no share
	 */
	double requestsPerSecond(TargetId target, double limitPerSecond, long nowNanos) {
		if (this.members.isEmpty() || nowNanos - this.joinedNanos < JOINING_NANOS) {
			return 0;
		}
		double limit = effectiveLimit(limitPerSecond);
		int shares = Math.min(this.members.size(), maxShares(limit));
		boolean hasShare = VmRanking.rank(this.self, target.value(), this.members) < shares;
		return hasShare ? limit * DIVIDED_FRACTION / shares : 0;
	}

	private int maxShares(double limit) {
		double maxCount = MAX_VMS_WITH_EQUAL_SHARES + MORE_VMS_PER_REQUEST_PER_SECOND * limit;
		return (int) ((this.largestCount <= maxCount) ? maxCount : maxCount / 2);
	}

	static double effectiveLimit(double limitPerSecond) {
		return Math.max(MIN_REQUESTS_PER_SECOND, limitPerSecond);
	}

}
