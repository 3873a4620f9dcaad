package org.vanillatrestle.internal.select;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The prefixes that this VM sent to one target of late.
 * <p>
 * Bounded: the least recently used prefix is forgotten first. Not thread safe.
 */
final class PrefixMemory {

	private static final int CAPACITY = 256;

	private final Map<Long, Boolean> prefixes = new LinkedHashMap<>(16, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
			return size() > CAPACITY;
		}

	};

	void sent(long prefixHash) {
		if (prefixHash != 0) {
			this.prefixes.put(prefixHash, Boolean.TRUE);
		}
	}

	boolean contains(long prefixHash) {
		return prefixHash != 0 && this.prefixes.containsKey(prefixHash);
	}

	void clear() {
		this.prefixes.clear();
	}

}
