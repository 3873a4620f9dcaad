package org.vanillatrestle.internal.fleet;

import java.util.List;

import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.VmId;

/**
 * The state that an entry VM reports about itself.
 * <p>
 * Immutable and thread safe.
 *
 * @param vm the VM
 * @param region its region
 * @param dataCentre its data centre
 * @param frontAddress the address for requests from callers, as {@code host:port}
 * @param forwardAddress the address for requests from other VMs, as {@code host:port}
 * @param ready whether it accepts new requests
 * @param waits the estimated wait of one more request, per service
 */
public record EntryReport(VmId vm, RegionId region, DataCentreId dataCentre, String frontAddress, String forwardAddress,
		boolean ready, List<ServiceWait> waits) {

	public EntryReport {
		waits = List.copyOf(waits);
	}

}
