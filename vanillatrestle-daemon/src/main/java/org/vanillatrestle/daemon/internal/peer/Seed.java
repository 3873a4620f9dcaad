package org.vanillatrestle.daemon.internal.peer;

import java.net.InetSocketAddress;

import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.RegionId;

/**
 * A VM named in settings, by which a starting VM finds the others.
 * <p>
 * Immutable and thread safe.
 *
 * @param address where the VM accepts links
 * @param dataCentre its data centre
 * @param region the region of the data centre
 */
public record Seed(InetSocketAddress address, DataCentreId dataCentre, RegionId region) {

}
