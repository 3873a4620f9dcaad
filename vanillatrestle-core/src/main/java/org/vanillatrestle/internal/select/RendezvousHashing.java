package org.vanillatrestle.internal.select;

import java.util.List;

/**
 * Weighted rendezvous hashing, with the capacity of a target as its weight. All VMs
 * compute the same ranking of targets for a prefix without exchanging messages.
 * <p>
 * Stateless and thread safe.
 */
final class RendezvousHashing {

	private static final double DOUBLE_UNIT = 0x1.0p-53;

	private RendezvousHashing() {
	}

	static double weight(long prefixHash, Candidate candidate) {
		long mixed = mix(prefixHash ^ candidate.state().idHash());
		double uniform = ((mixed >>> 11) + 0.5) * DOUBLE_UNIT;
		return -candidate.announcement().capacity().maxRunning() / Math.log(uniform);
	}

	/**
	 * Returns the target that ranks highest for a prefix.
	 * @param prefixHash the hash of the prefix, 0 for no prefix
	 * @param candidates the targets to rank
	 * @return the target, or {@code null} if there is no prefix or no target
	 */
	static Candidate highestRanked(long prefixHash, List<Candidate> candidates) {
		if (prefixHash == 0) {
			return null;
		}
		Candidate highest = null;
		double highestWeight = -1;
		for (Candidate candidate : candidates) {
			double weight = weight(prefixHash, candidate);
			if (weight > highestWeight) {
				highest = candidate;
				highestWeight = weight;
			}
		}
		return highest;
	}

	static long mix(long value) {
		long z = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
		z = (z ^ (z >>> 33)) * 0xc4ceb9fe1a85ec53L;
		return z ^ (z >>> 33);
	}

}
