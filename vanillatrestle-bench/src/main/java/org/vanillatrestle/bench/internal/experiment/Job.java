package org.vanillatrestle.bench.internal.experiment;

import org.vanillatrestle.Verdict;

/**
 * One attempt at a fake target.
 * <p>
 * Not thread safe.
 */
final class Job {

	private final SimulatedRequest request;

	private final Listener listener;

	private int promptTokensLeft;

	private int tokens;

	private boolean prefixHit;

	private boolean ended;

	Job(SimulatedRequest request, Listener listener) {
		this.request = request;
		this.listener = listener;
		this.promptTokensLeft = request.promptTokens();
	}

	SimulatedRequest request() {
		return this.request;
	}

	Listener listener() {
		return this.listener;
	}

	void cached(int cachedTokens) {
		this.promptTokensLeft = Math.max(1, this.promptTokensLeft - cachedTokens);
		this.prefixHit = true;
	}

	int read(int budget) {
		int read = Math.min(budget, this.promptTokensLeft);
		this.promptTokensLeft -= read;
		return read;
	}

	boolean reading() {
		return this.promptTokensLeft > 0;
	}

	int generate() {
		return ++this.tokens;
	}

	int tokens() {
		return this.tokens;
	}

	boolean prefixHit() {
		return this.prefixHit;
	}

	boolean ended() {
		return this.ended;
	}

	void end() {
		this.ended = true;
	}

	/**
	 * Hears of a job's progress. Not thread safe.
	 */
	interface Listener {

		/**
		 * The first token is ready.
		 * @param prefixHit whether the prompt's prefix was cached
		 */
		void first(boolean prefixHit);

		/**
		 * The answer is whole.
		 * @param tokens its tokens
		 */
		void done(int tokens);

		/**
		 * The job failed.
		 * @param verdict whether it may have run
		 * @param refused whether the target refused it
		 */
		void failed(Verdict verdict, boolean refused);

	}

}
