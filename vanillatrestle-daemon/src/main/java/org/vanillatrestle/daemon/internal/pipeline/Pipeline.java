package org.vanillatrestle.daemon.internal.pipeline;

import java.util.List;

import org.jboss.logging.Logger;

/**
 * Runs an exchange through filters in order.
 * <p>
 * Used on the VM's event loop. A filter that throws ends its exchange with an internal
 * error and harms no other exchange.
 */
public final class Pipeline {

	private static final Logger logger = Logger.getLogger(Pipeline.class);

	private final List<Filter> filters;

	public Pipeline(List<Filter> filters) {
		this.filters = List.copyOf(filters);
	}

	/**
	 * Starts an exchange.
	 * @param exchange the exchange
	 */
	public void run(Exchange exchange) {
		step(exchange, 0);
	}

	private void step(Exchange exchange, int index) {
		if (exchange.isEnded() || index == this.filters.size()) {
			return;
		}
		try {
			this.filters.get(index).apply(exchange, () -> step(exchange, index + 1));
		}
		catch (RuntimeException ex) {
			logger.errorf(ex, "Pipeline: request %s met an unexpected fault.", exchange.id());
			exchange.refuse(Refusals.internalError());
		}
	}

}
