package org.vanillatrestle.daemon.internal.pipeline;

import java.util.List;

import org.jboss.logging.Logger;

/**
 * Runs exchanges through a list of filters, in order.
 * <p>
 * Used on the VM's event loop. If a filter throws an exception, its exchange ends with an
 * internal error, and other exchanges are not affected.
 */
public final class Pipeline {

	private static final Logger logger = Logger.getLogger(Pipeline.class);

	private final List<Filter> filters;

	public Pipeline(List<Filter> filters) {
		this.filters = List.copyOf(filters);
	}

	/**
	 * Passes an exchange to the first filter.
	 * @param exchange the exchange
	 */
	public void run(Exchange exchange) {
		runFilter(exchange, 0);
	}

	private void runFilter(Exchange exchange, int index) {
		if (exchange.isEnded() || index == this.filters.size()) {
			return;
		}
		try {
			this.filters.get(index).apply(exchange, () -> runFilter(exchange, index + 1));
		}
		catch (RuntimeException ex) {
			logger.errorf(ex, "Pipeline: request %s failed with an unexpected exception.", exchange.id());
			exchange.refuse(Refusals.internalError());
		}
	}

}
