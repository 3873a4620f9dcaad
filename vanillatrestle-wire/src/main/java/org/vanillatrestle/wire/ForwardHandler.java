package org.vanillatrestle.wire;

/**
 * Takes the requests that other VMs forward to this one. Runs on the VM's event loop.
 */
public interface ForwardHandler {

	/**
	 * Called for each forwarded request.
	 * @param exchange the request and the way to answer it
	 * @return who gets the request's body and its cancellation
	 */
	ExchangeListener onRequest(ForwardExchange exchange);

}
