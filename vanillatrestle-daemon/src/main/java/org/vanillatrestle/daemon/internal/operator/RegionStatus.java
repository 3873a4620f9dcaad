package org.vanillatrestle.daemon.internal.operator;

import java.util.OptionalLong;

import org.vanillatrestle.RegionId;

/**
 * The replication status of the contract book in a region, as last reported.
 * <p>
 * Immutable and thread safe.
 *
 * @param region the region
 * @param changeIndex the lowest change index in force on any of the region's VMs
 * @param unreachableForMillis how long the region has sent no report, in milliseconds;
 * empty while it is reachable
 */
public record RegionStatus(RegionId region, long changeIndex, OptionalLong unreachableForMillis) {

}
