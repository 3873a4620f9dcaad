package org.vanillatrestle.internal.log;

import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.RegionId;

/**
 * Where a VM is, and so with which other VMs it may be lost at the same time.
 * <p>
 * Immutable and thread safe.
 *
 * @param region the region
 * @param dataCentre the data centre in that region
 */
public record VmLocation(RegionId region, DataCentreId dataCentre) {

}
