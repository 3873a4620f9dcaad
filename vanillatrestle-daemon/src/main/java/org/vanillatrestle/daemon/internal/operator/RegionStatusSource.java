package org.vanillatrestle.daemon.internal.operator;

import java.util.List;

/**
 * Supplies the replication status of the contract book in each region.
 * <p>
 * Implementations are thread safe.
 */
@FunctionalInterface
public interface RegionStatusSource {

	/**
	 * Returns the last known status of each region.
	 * @return the status of each region
	 */
	List<RegionStatus> regions();

}
