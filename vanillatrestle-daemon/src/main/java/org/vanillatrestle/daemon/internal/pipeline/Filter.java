package org.vanillatrestle.daemon.internal.pipeline;

/**
 * One step of the request pipeline.
 * <p>
 * Runs on the VM's event loop. A filter either ends the exchange, or calls
 * {@link Continuation#proceed()} once, immediately or later.
 */
public interface Filter {

	/**
	 * Handles an exchange.
	 * @param exchange the exchange
	 * @param next runs the remaining filters
	 */
	void apply(Exchange exchange, Continuation next);

	/**
	 * Runs the filters that follow.
	 */
	@FunctionalInterface
	interface Continuation {

		/**
		 * Passes the exchange to the next filter, unless the exchange has ended.
		 */
		void proceed();

	}

}
