package org.vanillatrestle.bench.internal.experiment;

import org.vanillatrestle.Repeat;

/**
 * A caller's request.
 * <p>
 * Immutable and thread safe.
 *
 * @param plain whether it is a call of the plain service
 * @param home the caller's region
 * @param intendedNanos when the caller meant to send it
 * @param deadlineNanos when the answer is no longer wanted
 * @param promptTokens tokens of the prompt
 * @param answerTokens tokens of the answer, unknown to the policy
 * @param maxTokens greatest number of tokens of the answer
 * @param prefixHash the prompt's prefix
 * @param prefixTokens tokens of the prefix
 * @param repeat whether it may run more than once
 */
record SimulatedRequest(boolean plain, String home, long intendedNanos, long deadlineNanos, int promptTokens,
		int answerTokens, int maxTokens, long prefixHash, int prefixTokens, Repeat repeat) {

	private static final int BYTES_PER_PROMPT_TOKEN = 5;

	private static final int BYTES_PER_ANSWER_TOKEN = 200;

	private static final int HEADER_BYTES = 1_000;

	private static final int PLAIN_ANSWER_BYTES = 4_000;

	long requestBytes() {
		return HEADER_BYTES + (long) this.promptTokens * BYTES_PER_PROMPT_TOKEN;
	}

	long answerBytes() {
		return HEADER_BYTES + (this.plain ? PLAIN_ANSWER_BYTES : (long) this.answerTokens * BYTES_PER_ANSWER_TOKEN);
	}

}
