package org.vanillatrestle.internal.gateway;

import java.util.HashSet;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.declaration.DeclaredService;
import org.vanillatrestle.internal.fleet.RequestLimit;
import org.vanillatrestle.internal.fleet.TargetCondition;
import org.vanillatrestle.internal.fleet.TargetReport;

/**
 * Decides whether this VM may send a target one more request now, whatever the target's
 * load.
 * <p>
 * Not thread safe.
 */
final class TargetEligibility {

	private static final double MILLIS_PER_SECOND = 1_000;

	private final VmId self;

	private final ColdQuota coldQuota;

	private final RequestLimitShares limitShares;

	private Set<DataCentreId> evacuated = Set.of();

	private SortedSet<VmId> regionEntries = new TreeSet<>();

	TargetEligibility(VmId self, ColdQuota coldQuota) {
		this.self = self;
		this.coldQuota = coldQuota;
		this.limitShares = new RequestLimitShares(self);
	}

	/**
	 * Sets the data centres whose targets get no requests.
	 * @param changed the evacuated data centres
	 * @return the data centres that are no longer evacuated
	 */
	Set<DataCentreId> setEvacuated(Set<DataCentreId> changed) {
		Set<DataCentreId> returned = new HashSet<>(this.evacuated);
		returned.removeAll(changed);
		this.evacuated = Set.copyOf(changed);
		return returned;
	}

	void setRegionEntries(SortedSet<VmId> entries, long nowNanos) {
		this.regionEntries = entries;
		this.limitShares.setMembers(entries, nowNanos);
	}

	/**
	 * Returns whether a target is ready and not evacuated.
	 * @param target the target
	 * @param service the service that it has to run
	 * @return whether it may get requests at all
	 */
	boolean isOffered(GatewayTarget target, DeclaredService service) {
		TargetReport report = target.report();
		return report.service().equals(service.name()) && report.condition() == TargetCondition.READY
				&& !this.evacuated.contains(report.dataCentre());
	}

	boolean isEligible(GatewayTarget target, DeclaredService service, long nowNanos) {
		if (!isOffered(target, service) || target.health().isEjected(nowNanos) || target.pausedMillis(nowNanos) > 0) {
			return false;
		}
		if (target.health().isProbing() && target.own().requests() > 0) {
			return false;
		}
		return isWithinFirstQuota(target) && isWithinColdQuota(target, service, nowNanos)
				&& nanosUntilWithinLimit(target, nowNanos) == 0;
	}

	// VMs that all have restarted know no limit, nor how many they are, before the first
	// answer
	private static boolean isWithinFirstQuota(GatewayTarget target) {
		return target.hasAnswered() || target.own().requests() == 0;
	}

	/**
	 * Returns whether the requests that a target tolerates are divided among the VMs.
	 * @param target the target
	 * @param service its service
	 * @param nowNanos the monotonic time
	 * @return whether it is cold or states a limit
	 */
	boolean isRestricted(GatewayTarget target, DeclaredService service, long nowNanos) {
		return isCold(target, service, nowNanos) || target.report().limit().isFinite();
	}

	private static boolean isCold(GatewayTarget target, DeclaredService service, long nowNanos) {
		return service.warmupRequestsPerSecond() > 0
				&& (target.isCold(nowNanos) || target.health().mayHaveRestarted(service.coldStartMillis(), nowNanos));
	}

	private boolean isWithinColdQuota(GatewayTarget target, DeclaredService service, long nowNanos) {
		if (!isCold(target, service, nowNanos)) {
			return true;
		}
		int quota = this.coldQuota.quota(service.warmupRequestsPerSecond(), target.id(), this.self, this.regionEntries);
		return target.coldLimiter().canSend(quota, nowNanos);
	}

	private long nanosUntilWithinLimit(GatewayTarget target, long nowNanos) {
		RequestLimit limit = target.report().limit();
		if (!limit.isFinite()) {
			return 0;
		}
		double share = this.limitShares.requestsPerSecond(target.id(), limit.requestsPerSecond(), nowNanos);
		return target.nanosUntilWithinLimit(share, nowNanos);
	}

	/**
	 * Returns when a target accepts a request again after the pause that it asked for,
	 * within this VM's share of its limit.
	 * @param target the target
	 * @param nowNanos the monotonic time
	 * @return the time in milliseconds, rounded up, 0 if it accepts requests now. If only
	 * other VMs have a share, it is the average time between the requests that the target
	 * takes
	 */
	long reopensInMillis(GatewayTarget target, long nowNanos) {
		long limitNanos = nanosUntilWithinLimit(target, nowNanos);
		double limitMillis = (limitNanos == Long.MAX_VALUE)
				? MILLIS_PER_SECOND / RequestLimitShares.effectiveLimit(target.report().limit().requestsPerSecond())
				: limitNanos / (double) TimeUnit.MILLISECONDS.toNanos(1);
		return Math.max(target.pausedMillis(nowNanos), (long) Math.ceil(limitMillis));
	}

}
