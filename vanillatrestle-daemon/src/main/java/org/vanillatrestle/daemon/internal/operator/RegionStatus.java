package org.vanillatrestle.daemon.internal.operator;

import java.util.OptionalLong;

import org.vanillatrestle.RegionId;

/**
 * How far a region follows the contract book, as last heard.
 * <p>
 * Immutable and thread safe.
 *
 * @param region the region
 * @param changeIndex the lowest change index in force on any of the region's VMs
 * @param unreachableForMillis for how long nothing was heard of the region, empty while
 * it is reachable
 */
public record RegionStatus(RegionId region, long changeIndex, OptionalLong unreachableForMillis) {

}
