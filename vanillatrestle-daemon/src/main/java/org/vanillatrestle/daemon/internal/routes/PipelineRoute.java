package org.vanillatrestle.daemon.internal.routes;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.jboss.logging.Logger;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.RequestId;
import org.vanillatrestle.Verdict;
import org.vanillatrestle.daemon.internal.http.ConnectionListener;
import org.vanillatrestle.daemon.internal.http.HttpRoute;
import org.vanillatrestle.daemon.internal.pipeline.AnswerSink;
import org.vanillatrestle.daemon.internal.pipeline.CallerRequest;
import org.vanillatrestle.daemon.internal.pipeline.Exchange;
import org.vanillatrestle.daemon.internal.pipeline.ExchangeListener;
import org.vanillatrestle.daemon.internal.pipeline.Pipeline;
import org.vanillatrestle.daemon.internal.pipeline.Refusals;
import org.vanillatrestle.daemon.internal.pipeline.TraceHeaderSink;

/**
 * Processes callers' requests in the pipeline. Matches every path, so it must be the last
 * of the routes.
 * <p>
 * Must be called on the VM's event loop.
 */
public final class PipelineRoute implements HttpRoute {

	private static final Logger logger = Logger.getLogger(PipelineRoute.class);

	private final Pipeline pipeline;

	private final RegionId region;

	private final UniformRandomProvider random;

	private final LongSupplier clockNanos;

	private final List<ExchangeListener> listeners = new ArrayList<>();

	private final Set<Exchange> active = new HashSet<>();

	private boolean shuttingDown;

	/**
	 * Creates the route.
	 * @param pipeline the pipeline of filters
	 * @param region this VM's region
	 * @param random the random source for request ids
	 * @param clockNanos the monotonic clock in nanoseconds
	 */
	public PipelineRoute(Pipeline pipeline, RegionId region, UniformRandomProvider random, LongSupplier clockNanos) {
		this.pipeline = pipeline;
		this.region = region;
		this.random = random;
		this.clockNanos = clockNanos;
	}

	/**
	 * Adds a listener that is called at the end of every exchange.
	 * @param listener the listener
	 */
	public void addExchangeListener(ExchangeListener listener) {
		this.listeners.add(listener);
	}

	@Override
	public boolean matches(String path) {
		return true;
	}

	@Override
	public ConnectionListener serve(CallerRequest request, AnswerSink sink) {
		RequestId id = RequestId.of(this.random.nextLong(), this.random.nextLong());
		TraceHeaderSink traced = new TraceHeaderSink(sink, id, this.region);
		Exchange exchange = new Exchange(id, request, traced, this.clockNanos.getAsLong());
		traced.exchange(exchange);
		if (this.shuttingDown) {
			exchange.refuse(Refusals.shuttingDown());
			return null;
		}
		this.active.add(exchange);
		exchange.addListener(this.active::remove);
		exchange.addListener(PipelineRoute::logUncertainOutcome);
		this.listeners.forEach(exchange::addListener);
		this.pipeline.run(exchange);
		return new ExchangeConnection(exchange);
	}

	private static void logUncertainOutcome(Exchange exchange) {
		if (exchange.verdict() == Verdict.MAY_HAVE_RUN) {
			logger.infof("Request: %s of %s ended with status %d, attempts %d, verdict %s.", exchange.id(),
					(exchange.contract() != null) ? exchange.contract().customer() : "an unknown caller",
					exchange.status(), exchange.attempts(), exchange.verdict());
		}
	}

	/**
	 * Starts the shutdown: all further requests are refused.
	 */
	public void startShutdown() {
		this.shuttingDown = true;
	}

	/**
	 * Returns the number of requests whose answer is not complete yet.
	 * @return the number
	 */
	public int activeRequestCount() {
		return this.active.size();
	}

	/**
	 * Passes events of the caller's connection to the exchange. Called on the VM's event
	 * loop.
	 *
	 * @param exchange the exchange
	 */
	private record ExchangeConnection(Exchange exchange) implements ConnectionListener {

		@Override
		public void disconnected() {
			this.exchange.callerDisconnected();
		}

		@Override
		public void writabilityChanged() {
			this.exchange.writabilityChanged();
		}

	}

}
