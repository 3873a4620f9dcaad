package org.vanillatrestle.daemon.internal.pipeline;

/**
 * One step on the way of a request.
 * <p>
 * Runs on the VM's event loop. A filter either ends the exchange, or calls
 * {@link Continuation#proceed()} once, at once or later.
 */
public interface Filter {

	/**
	 * Handles an exchange.
	 * @param exchange the exchange
	 * @param next what follows
	 */
	void apply(Exchange exchange, Continuation next);

	/**
	 * What follows a filter.
	 */
	@FunctionalInterface
	interface Continuation {

		/**
		 * Hands the exchange to the next filter, unless the exchange has ended.
		 */
		void proceed();

	}

}
