package org.vanillatrestle.daemon.internal.pipeline;

/**
 * Is told when an exchange has ended.
 */
@FunctionalInterface
public interface ExchangeListener {

	/**
	 * The exchange has ended; called once, on the event loop.
	 * @param exchange the exchange
	 */
	void ended(Exchange exchange);

}
