package org.vanillatrestle.bench.internal.engine;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A cache of prompt prefixes in blocks, of limited size; the least recently used block
 * goes first.
 * <p>
 * Not thread safe. A block is known by the hash of the prompt up to its end, so that
 * equal blocks after other beginnings are not mixed up.
 */
public final class PrefixCache {

	static final int BLOCK_TOKENS = 16;

	private static final int CHARS_PER_TOKEN = 4;

	private static final int BLOCK_CHARS = BLOCK_TOKENS * CHARS_PER_TOKEN;

	private static final int PERCENT = 100;

	private static final long MIX = 0x100000001B3L;

	private final int maxBlocks;

	private final Map<Long, Boolean> blocks;

	/**
	 * Creates an empty cache.
	 * @param maxBlocks how many blocks it holds
	 */
	public PrefixCache(int maxBlocks) {
		this.maxBlocks = maxBlocks;
		this.blocks = new LinkedHashMap<>(16, 0.75f, true) {
			private static final long serialVersionUID = 1L;

			@Override
			protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
				return size() > maxBlocks;
			}
		};
	}

	/**
	 * Puts a prompt into the cache.
	 * @param prompt the prompt
	 * @return how many of its tokens the cache lacked
	 */
	public long load(String prompt) {
		long hash = 1;
		long hitChars = 0;
		boolean hit = true;
		for (int start = 0; start + BLOCK_CHARS <= prompt.length(); start += BLOCK_CHARS) {
			hash = extend(hash, prompt, start);
			hit &= this.blocks.get(hash) != null;
			if (hit) {
				hitChars += BLOCK_CHARS;
			}
			this.blocks.put(hash, Boolean.TRUE);
		}
		return (prompt.length() - hitChars + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN;
	}

	/**
	 * Returns the length of a prompt.
	 * @param prompt the prompt
	 * @return its tokens
	 */
	public static long tokens(String prompt) {
		return (prompt.length() + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN;
	}

	/**
	 * Forgets everything.
	 */
	public void clear() {
		this.blocks.clear();
	}

	/**
	 * Returns how full the cache is.
	 * @return 0 to 100
	 */
	public int usePercent() {
		return (this.maxBlocks == 0) ? 0 : this.blocks.size() * PERCENT / this.maxBlocks;
	}

	private static long extend(long hash, String prompt, int start) {
		long result = hash;
		for (int i = start; i < start + BLOCK_CHARS; i++) {
			result = (result ^ prompt.charAt(i)) * MIX;
		}
		return result;
	}

}
