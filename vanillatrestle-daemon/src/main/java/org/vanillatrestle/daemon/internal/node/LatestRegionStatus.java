package org.vanillatrestle.daemon.internal.node;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.daemon.internal.operator.RegionStatus;
import org.vanillatrestle.daemon.internal.operator.RegionStatusSource;
import org.vanillatrestle.daemon.internal.peer.PeerService;
import org.vanillatrestle.internal.membership.DataCentreSummary;
import org.vanillatrestle.internal.membership.MemberRecord;
import org.vanillatrestle.internal.membership.RegionReachability;

/**
 * Holds the index up to which each region has applied the contract book, according to the
 * latest information that this VM has received.
 * <p>
 * Updated on the VM's event loop; any thread may read it.
 */
final class LatestRegionStatus implements RegionStatusSource {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final RegionId region;

	private final DataCentreId dataCentre;

	private volatile List<RegionStatus> regions = List.of();

	LatestRegionStatus(RegionId region, DataCentreId dataCentre) {
		this.region = region;
		this.dataCentre = dataCentre;
	}

	void update(PeerService peers, long ownIndex, long nowNanos) {
		List<RegionStatus> result = new ArrayList<>();
		List<DataCentreSummary> summaries = peers.summaries().summaries();
		long lowest = ownIndex;
		for (MemberRecord member : peers.membership().presentMembers()) {
			lowest = Math.min(lowest, member.appliedIndex());
		}
		result.add(new RegionStatus(this.region, Math.min(lowest, lowestAppliedIndex(this.region, summaries)),
				OptionalLong.empty()));
		for (RegionReachability reach : peers.summaries().regions()) {
			if (!reach.region().equals(this.region)) {
				long index = lowestAppliedIndex(reach.region(), summaries);
				result.add(new RegionStatus(reach.region(), (index != Long.MAX_VALUE) ? index : 0, reach.reachable()
						? OptionalLong.empty() : OptionalLong.of((nowNanos - reach.sinceNanos()) / NANOS_PER_MILLI)));
			}
		}
		this.regions = List.copyOf(result);
	}

	private long lowestAppliedIndex(RegionId wanted, List<DataCentreSummary> summaries) {
		return summaries.stream()
			.filter((summary) -> summary.region().equals(wanted) && !summary.dataCentre().equals(this.dataCentre))
			.mapToLong(DataCentreSummary::appliedIndex)
			.min()
			.orElse(Long.MAX_VALUE);
	}

	@Override
	public List<RegionStatus> regions() {
		return this.regions;
	}

}
