package org.vanillatrestle.daemon.internal.pipeline;

/**
 * Listens for the end of an exchange.
 */
@FunctionalInterface
public interface ExchangeListener {

	/**
	 * Called once, on the VM's event loop, after the exchange has ended.
	 * @param exchange the exchange that ended
	 */
	void ended(Exchange exchange);

}
