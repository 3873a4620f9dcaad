package org.vanillatrestle.wire;

/**
 * What an answer has used up.
 * <p>
 * Immutable and thread safe.
 *
 * @param inputTokens tokens of the prompt
 * @param outputTokens tokens of the answer
 * @param costMicros the cost in millionths of the contract's unit
 */
public record Usage(long inputTokens, long outputTokens, long costMicros) {

	/**
	 * The usage of an answer that has no tokens and no cost.
	 */
	public static final Usage NONE = new Usage(0, 0, 0);

}
