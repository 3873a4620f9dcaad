package org.vanillatrestle.daemon.internal.peer;

import java.net.InetSocketAddress;

import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.RegionId;

/**
 * A VM listed in the settings, from which a starting VM discovers the others.
 * <p>
 * Immutable and thread safe.
 *
 * @param address the address at which the VM accepts links
 * @param dataCentre the VM's data centre
 * @param region the region of the data centre
 */
public record Seed(InetSocketAddress address, DataCentreId dataCentre, RegionId region) {

}
