package org.vanillatrestle.internal.gateway;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which parts of prompts a target probably keeps in its memory, from the requests sent to
 * it.
 * <p>
 * The least recently used parts are forgotten beyond a bound in tokens. Not thread safe.
 */
final class PrefixCache {

	private final Map<String, Integer> parts = new LinkedHashMap<>(16, 0.75f, true);

	private long tokens;

	/**
	 * Counts the leading tokens of a prompt that need not be read again.
	 * @param prompt the parts in order
	 * @return the tokens
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
	 * Notes that a target reads a prompt.
	 * @param prompt the parts in order
	 * @param limitTokens the most tokens remembered
	 */
	void read(List<PromptPart> prompt, long limitTokens) {
		for (PromptPart part : prompt) {
			Integer known = this.parts.put(part.id(), part.tokens());
			this.tokens += part.tokens() - ((known != null) ? known : 0);
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
