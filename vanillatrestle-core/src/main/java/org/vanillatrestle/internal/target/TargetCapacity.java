package org.vanillatrestle.internal.target;

/**
 * The capacity and the prices that a target announced.
 * <p>
 * Immutable and thread safe.
 *
 * @param maxRunning the number of requests it processes concurrently, at least 1
 * @param tokensPerSecond the number of tokens it generates per second at full load, 0 for
 * plain services
 * @param priceMicrosPerThousandTokens the price of a thousand tokens, in millionths of
 * the currency
 * @param priceMicrosPerRequest the price of a request, in millionths of the currency
 */
public record TargetCapacity(int maxRunning, long tokensPerSecond, long priceMicrosPerThousandTokens,
		long priceMicrosPerRequest) {

}
