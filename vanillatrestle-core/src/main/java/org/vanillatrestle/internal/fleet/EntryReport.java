package org.vanillatrestle.internal.fleet;

import java.util.List;

import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.VmId;

/**
 * What an entry VM says of itself.
 * <p>
 * Immutable and thread safe.
 *
 * @param vm the VM
 * @param region its region
 * @param dataCentre its data centre
 * @param frontAddress where it takes callers' requests, as {@code host:port}
 * @param forwardAddress where it takes requests from other VMs, as {@code host:port}
 * @param ready whether it takes new requests
 * @param waits for each service how soon it could serve one more request
 */
public record EntryReport(VmId vm, RegionId region, DataCentreId dataCentre, String frontAddress, String forwardAddress,
		boolean ready, List<ServiceWait> waits) {

	public EntryReport {
		waits = List.copyOf(waits);
	}

}
