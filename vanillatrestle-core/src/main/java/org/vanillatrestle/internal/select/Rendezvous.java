package org.vanillatrestle.internal.select;

import java.util.List;

/**
 * Rendezvous hashing weighted by capacity: each VM ranks the targets for a prefix alike
 * without a message.
 * <p>
 * Stateless and thread safe.
 */
final class Rendezvous {

	private static final double UNIT = 0x1.0p-53;

	private Rendezvous() {
	}

	static double weight(long prefixHash, Candidate candidate) {
		long mixed = mix(prefixHash ^ candidate.state().idHash());
		double uniform = ((mixed >>> 11) + 0.5) * UNIT;
		return -candidate.announcement().capacity().maxRunning() / Math.log(uniform);
	}

	/**
	 * Finds the target that ranks first for a prefix.
	 * @param prefixHash the prefix, 0 for none
	 * @param candidates the targets
	 * @return the first, or {@code null} if there is no prefix
	 */
	static Candidate first(long prefixHash, List<Candidate> candidates) {
		if (prefixHash == 0) {
			return null;
		}
		Candidate first = null;
		double firstWeight = -1;
		for (Candidate candidate : candidates) {
			double weight = weight(prefixHash, candidate);
			if (weight > firstWeight) {
				first = candidate;
				firstWeight = weight;
			}
		}
		return first;
	}

	static long mix(long value) {
		long z = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
		z = (z ^ (z >>> 33)) * 0xc4ceb9fe1a85ec53L;
		return z ^ (z >>> 33);
	}

}
