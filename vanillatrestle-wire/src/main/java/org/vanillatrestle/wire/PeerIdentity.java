package org.vanillatrestle.wire;

import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.VmId;

/**
 * Who a VM is, as it says when a link is set up.
 * <p>
 * Immutable and thread safe.
 *
 * @param vm the VM
 * @param dataCentre its data centre
 * @param region the region of its data centre
 * @param incarnation higher after each start of the VM
 * @param address where it accepts links, as {@code host:port}, empty if it accepts none
 */
public record PeerIdentity(VmId vm, DataCentreId dataCentre, RegionId region, long incarnation, String address) {

}
