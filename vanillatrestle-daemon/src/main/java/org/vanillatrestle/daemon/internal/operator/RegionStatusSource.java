package org.vanillatrestle.daemon.internal.operator;

import java.util.List;

/**
 * Knows how far each region follows the contract book.
 * <p>
 * Implementations are thread safe.
 */
@FunctionalInterface
public interface RegionStatusSource {

	/**
	 * Returns what is known of each region.
	 * @return the regions
	 */
	List<RegionStatus> regions();

}
