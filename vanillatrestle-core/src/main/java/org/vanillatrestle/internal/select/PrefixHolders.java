package org.vanillatrestle.internal.select;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Records to which targets this VM has recently sent each prompt prefix. These targets
 * likely hold the prefix in their cache.
 * <p>
 * The number of prefixes is bounded, and the least recently used prefix is evicted first.
 * The number of targets per prefix is bounded as well. A target that has restarted since
 * is not returned. Not thread safe.
 */
final class PrefixHolders {

	private static final int MAX_PREFIXES = 4_096;

	private static final int MAX_HOLDERS_PER_PREFIX = 4;

	private final Map<Long, List<Holder>> holdersByPrefix = new LinkedHashMap<>(16, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, List<Holder>> eldest) {
			return size() > MAX_PREFIXES;
		}

	};

	void recordDispatch(long prefixHash, TargetState target) {
		if (prefixHash == 0) {
			return;
		}
		List<Holder> holders = this.holdersByPrefix.computeIfAbsent(prefixHash, (prefix) -> new ArrayList<>(1));
		holders.removeIf((holder) -> holder.target == target);
		holders.add(0, new Holder(target, target.incarnation()));
		if (holders.size() > MAX_HOLDERS_PER_PREFIX) {
			holders.remove(MAX_HOLDERS_PER_PREFIX);
		}
	}

	/**
	 * Returns the targets that likely have a prefix cached.
	 * @param prefixHash the hash of the prefix, 0 for no prefix
	 * @return the targets, most recent dispatch first
	 */
	List<TargetState> holders(long prefixHash) {
		List<Holder> known = (prefixHash != 0) ? this.holdersByPrefix.get(prefixHash) : null;
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
