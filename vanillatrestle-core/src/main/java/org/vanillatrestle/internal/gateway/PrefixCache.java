package org.vanillatrestle.internal.gateway;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * An estimate of the prompt parts that a target has cached, based on the requests sent to
 * it.
 * <p>
 * When the parts exceed a limit in tokens, the least recently used are evicted. Not
 * thread safe.
 */
final class PrefixCache {

	private final Map<String, Integer> parts = new LinkedHashMap<>(16, 0.75f, true);

	private long tokens;

	/**
	 * Counts the tokens of a prompt's leading parts that are cached.
	 * @param prompt the parts in order
	 * @return the tokens that need not be read again
	 */
	int cachedTokens(List<PromptPart> prompt) {
		int cached = 0;
		for (PromptPart part : prompt) {
			if (!this.parts.containsKey(part.id())) {
				break;
			}
			cached += part.tokens();
		}
		return cached;
	}

	/**
	 * Adds the parts of a prompt that the target reads.
	 * @param prompt the parts in order
	 * @param limitTokens the most tokens that the cache is assumed to keep
	 */
	void add(List<PromptPart> prompt, long limitTokens) {
		for (PromptPart part : prompt) {
			Integer previousTokens = this.parts.put(part.id(), part.tokens());
			this.tokens += part.tokens() - ((previousTokens != null) ? previousTokens : 0);
		}
		Iterator<Integer> oldest = this.parts.values().iterator();
		while (this.tokens > limitTokens && oldest.hasNext()) {
			this.tokens -= oldest.next();
			oldest.remove();
		}
	}

	void clear() {
		this.parts.clear();
		this.tokens = 0;
	}

}
