package org.vanillatrestle.internal.request;

import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.RegionId;

/**
 * What one data centre tells the others of one pool of targets.
 * <p>
 * Immutable and thread safe.
 *
 * @param region the region
 * @param dataCentre the data centre
 * @param pool the pool
 * @param freeSlots requests that could start at once
 * @param totalSlots requests that its targets process at the same time
 * @param queueDelayNanos expected wait of a new request, in nanoseconds
 * @param priceMicrosPerThousandTokens price of a thousand tokens at the cheapest target
 * with a free slot, in millionths of the currency
 * @param priceMicrosPerRequest price of a request there, in millionths of the currency
 */
public record RegionSummary(RegionId region, DataCentreId dataCentre, PoolKey pool, int freeSlots, int totalSlots,
		long queueDelayNanos, long priceMicrosPerThousandTokens, long priceMicrosPerRequest) {

}
