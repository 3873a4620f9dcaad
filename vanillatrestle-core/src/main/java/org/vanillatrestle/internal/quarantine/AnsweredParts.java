package org.vanillatrestle.internal.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The prompt parts that engines recently answered requests of this VM with.
 * <p>
 * Invariant: there are at most {@link #MAX_PARTS} parts; the least recently answered is
 * dropped first. Not thread safe.
 */
final class AnsweredParts {

	/**
	 * Maximum number of parts: those that many requests share are answered again before
	 * as many others are.
	 */
	static final int MAX_PARTS = 1_024;

	private final Map<PartKey, Boolean> parts = new LinkedHashMap<>(16, 0.75F, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<PartKey, Boolean> eldest) {
			return size() > MAX_PARTS;
		}

	};

	void add(PartKey key) {
		this.parts.put(key, Boolean.TRUE);
	}

	boolean contains(PartKey key) {
		return this.parts.containsKey(key);
	}

}
