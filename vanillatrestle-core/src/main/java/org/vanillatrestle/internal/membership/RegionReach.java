package org.vanillatrestle.internal.membership;

import org.vanillatrestle.RegionId;

/**
 * Whether a region is heard from, and since when that is so.
 * <p>
 * Immutable and thread safe.
 *
 * @param region the region
 * @param reachable whether a data centre of the region was heard from straight
 * @param sinceNanos the monotonic time of the last change
 */
public record RegionReach(RegionId region, boolean reachable, long sinceNanos) {

}
