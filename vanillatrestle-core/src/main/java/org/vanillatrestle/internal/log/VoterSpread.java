package org.vanillatrestle.internal.log;

import java.util.List;
import java.util.Map;

import org.vanillatrestle.VmId;

/**
 * Measures how many voters the loss of a region or a data centre would take together.
 * <p>
 * A VM whose location is not known counts as alone. Not thread safe.
 */
final class VoterSpread {

	private static final int SAME_REGION_WEIGHT = 1000;

	private static final int SAME_DATA_CENTRE_WEIGHT = 1;

	private Map<VmId, VmLocation> locations = Map.of();

	void setLocations(Map<VmId, VmLocation> locations) {
		this.locations = Map.copyOf(locations);
	}

	/**
	 * Counts the pairs of voters that share a region or a data centre.
	 * @param membership the membership
	 * @return 0 if all voters are in different regions, and more the worse they are
	 * spread; a shared region outweighs all shared data centres
	 */
	int crowding(Membership membership) {
		List<ReplicaId> voters = List.copyOf(membership.voters());
		int crowding = 0;
		for (int i = 0; i < voters.size(); i++) {
			for (ReplicaId other : voters.subList(0, i)) {
				crowding += pairWeight(this.locations.get(voters.get(i).vm()), this.locations.get(other.vm()));
			}
		}
		return crowding;
	}

	private static int pairWeight(VmLocation first, VmLocation second) {
		if (first == null || second == null || !first.region().equals(second.region())) {
			return 0;
		}
		return first.dataCentre().equals(second.dataCentre()) ? SAME_REGION_WEIGHT + SAME_DATA_CENTRE_WEIGHT
				: SAME_REGION_WEIGHT;
	}

}
