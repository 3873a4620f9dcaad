package org.vanillatrestle.internal.membership;

import org.vanillatrestle.RegionId;

/**
 * Whether a region is reachable, and since when.
 * <p>
 * Immutable and thread safe.
 *
 * @param region the region
 * @param reachable whether a summary arrived recently and directly from a data centre of
 * the region
 * @param sinceNanos the monotonic time of the last change, in nanoseconds
 */
public record RegionReachability(RegionId region, boolean reachable, long sinceNanos) {

}
