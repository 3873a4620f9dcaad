package org.vanillatrestle.internal.limits;

import org.vanillatrestle.CustomerId;
import org.vanillatrestle.ServiceName;

/**
 * How much of the services' limits a VM uses.
 * <p>
 * Not thread safe: owned by the VM's event loop.
 */
public interface LimitUsage {

	/**
	 * Returns what was asked for since the last call.
	 * @param customer the customer
	 * @param service the service
	 * @return the demand, refused requests included
	 */
	LimitShare demand(CustomerId customer, ServiceName service);

	/**
	 * Returns the requests in flight.
	 * @param customer the customer
	 * @param service the service
	 * @return requests
	 */
	long inFlight(CustomerId customer, ServiceName service);

}
