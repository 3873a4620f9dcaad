package org.vanillatrestle.internal.select;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The targets to which this VM sent each prompt prefix of late.
 * <p>
 * Bounded in prefixes, the least recently sent is forgotten first, and in targets of each
 * prefix. A target that restarted no longer counts. Not thread safe.
 */
final class PrefixMemory {

	private static final int MAX_PREFIXES = 4_096;

	private static final int MAX_HOLDERS = 4;

	private final Map<Long, List<Holder>> prefixes = new LinkedHashMap<>(16, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, List<Holder>> eldest) {
			return size() > MAX_PREFIXES;
		}

	};

	void sent(long prefixHash, TargetState target) {
		if (prefixHash == 0) {
			return;
		}
		List<Holder> holders = this.prefixes.computeIfAbsent(prefixHash, (prefix) -> new ArrayList<>(1));
		holders.removeIf((holder) -> holder.target == target);
		holders.add(0, new Holder(target, target.incarnation()));
		if (holders.size() > MAX_HOLDERS) {
			holders.remove(MAX_HOLDERS);
		}
	}

	/**
	 * Returns the targets that likely have a prefix cached.
	 * @param prefixHash the prefix, 0 for none
	 * @return the targets
	 */
	List<TargetState> holders(long prefixHash) {
		List<Holder> known = (prefixHash != 0) ? this.prefixes.get(prefixHash) : null;
		if (known == null) {
			return List.of();
		}
		List<TargetState> result = new ArrayList<>(known.size());
		for (Holder holder : known) {
			if (holder.incarnation == holder.target.incarnation()) {
				result.add(holder.target);
			}
		}
		return result;
	}

	private record Holder(TargetState target, long incarnation) {

	}

}
