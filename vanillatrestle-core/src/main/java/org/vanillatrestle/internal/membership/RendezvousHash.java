package org.vanillatrestle.internal.membership;

import java.util.List;

import org.vanillatrestle.VmId;

/**
 * Rendezvous hashing: chooses the VM for which the combined hash of the key and the VM's
 * name is highest.
 * <p>
 * Stateless and thread safe.
 */
final class RendezvousHash {

	private static final long FNV_OFFSET = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private RendezvousHash() {
	}

	static VmId choose(String key, List<VmId> candidates) {
		VmId best = null;
		long bestWeight = Long.MIN_VALUE;
		for (VmId candidate : candidates) {
			long weight = mix(hash(key + '\0' + candidate.value()));
			if (best == null || weight > bestWeight || (weight == bestWeight && candidate.compareTo(best) < 0)) {
				best = candidate;
				bestWeight = weight;
			}
		}
		return best;
	}

	static long hash(String text) {
		long hash = FNV_OFFSET;
		for (int i = 0; i < text.length(); i++) {
			hash = (hash ^ text.charAt(i)) * FNV_PRIME;
		}
		return hash;
	}

	static long mix(long value) {
		long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
		mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
		return mixed ^ (mixed >>> 33);
	}

}
