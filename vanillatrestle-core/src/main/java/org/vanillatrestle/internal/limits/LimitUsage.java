package org.vanillatrestle.internal.limits;

import org.vanillatrestle.CustomerId;
import org.vanillatrestle.ServiceName;

/**
 * Measures how much of the services' limits a VM uses.
 * <p>
 * Not thread safe: owned by the VM's event loop.
 */
public interface LimitUsage {

	/**
	 * Returns the demand since the last call.
	 * @param customer the customer
	 * @param service the service
	 * @return the demand, including refused requests
	 */
	LimitShare demand(CustomerId customer, ServiceName service);

	/**
	 * Returns the number of requests in flight.
	 * @param customer the customer
	 * @param service the service
	 * @return the number of requests
	 */
	long inFlight(CustomerId customer, ServiceName service);

}
