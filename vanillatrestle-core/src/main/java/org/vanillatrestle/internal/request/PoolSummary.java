package org.vanillatrestle.internal.request;

import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.RegionId;

/**
 * The summary of one pool of targets that a data centre sends to the others.
 * <p>
 * Immutable and thread safe.
 *
 * @param region the region
 * @param dataCentre the data centre
 * @param pool the pool
 * @param freeSlots the number of requests that could start immediately
 * @param totalSlots the number of requests that its targets process concurrently
 * @param queueDelayNanos the expected wait of a new request, in nanoseconds
 * @param priceMicrosPerThousandTokens the price of a thousand tokens at the cheapest
 * target with a free slot, in millionths of the currency
 * @param priceMicrosPerRequest the price of a request at that target, in millionths of
 * the currency
 */
public record PoolSummary(RegionId region, DataCentreId dataCentre, PoolKey pool, int freeSlots, int totalSlots,
		long queueDelayNanos, long priceMicrosPerThousandTokens, long priceMicrosPerRequest) {

}
