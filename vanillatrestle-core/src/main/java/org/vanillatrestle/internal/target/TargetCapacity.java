package org.vanillatrestle.internal.target;

/**
 * What a target can do and what it costs, as it announced.
 * <p>
 * Immutable and thread safe.
 *
 * @param maxRunning requests it processes at the same time, 1 or more
 * @param tokensPerSecond tokens it generates a second at full load, 0 for plain services
 * @param priceMicrosPerThousandTokens price of a thousand tokens in millionths of the
 * currency
 * @param priceMicrosPerRequest price of a request in millionths of the currency
 */
public record TargetCapacity(int maxRunning, long tokensPerSecond, long priceMicrosPerThousandTokens,
		long priceMicrosPerRequest) {

}
