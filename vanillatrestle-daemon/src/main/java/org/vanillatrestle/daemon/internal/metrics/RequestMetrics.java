package org.vanillatrestle.daemon.internal.metrics;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.vanillatrestle.daemon.internal.pipeline.AnswerCut;
import org.vanillatrestle.daemon.internal.pipeline.AnswerCutListener;
import org.vanillatrestle.daemon.internal.pipeline.Exchange;
import org.vanillatrestle.daemon.internal.pipeline.ExchangeListener;

/**
 * Records the number and duration of requests.
 * <p>
 * Metrics are recorded on the VM's event loop and may be read by any thread.
 */
public final class RequestMetrics implements ExchangeListener, AnswerCutListener {

	private static final String UNKNOWN_TAG_VALUE = "unknown";

	private static final Duration[] DURATION_BUCKETS = { Duration.ofMillis(5), Duration.ofMillis(20),
			Duration.ofMillis(50), Duration.ofMillis(100), Duration.ofMillis(250), Duration.ofMillis(530),
			Duration.ofSeconds(1), Duration.ofSeconds(5), Duration.ofSeconds(30) };

	private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	private final LongSupplier clockNanos;

	public RequestMetrics(LongSupplier clockNanos) {
		this.clockNanos = clockNanos;
	}

	@Override
	public void ended(Exchange exchange) {
		String customer = (exchange.contract() != null) ? exchange.contract().customer().value() : UNKNOWN_TAG_VALUE;
		String service = (exchange.call() != null) ? exchange.call().service().name().value() : UNKNOWN_TAG_VALUE;
		Counter.builder("vanillatrestle.requests")
			.tags("customer", customer, "service", service, "verdict", exchange.verdict().name(), "status",
					Integer.toString(exchange.status()))
			.register(this.registry)
			.increment();
		if (exchange.attempts() > 1) {
			counter("vanillatrestle.retries", customer, service).increment(exchange.attempts() - 1);
		}
		if (exchange.isSentToOtherRegion()) {
			counter("vanillatrestle.sent.away", customer, service).increment();
		}
		if (exchange.firstByteNanos() >= 0) {
			timer("vanillatrestle.first.byte", customer, service)
				.record(exchange.firstByteNanos() - exchange.arrivedNanos(), TimeUnit.NANOSECONDS);
			timer("vanillatrestle.total", customer, service)
				.record(this.clockNanos.getAsLong() - exchange.arrivedNanos(), TimeUnit.NANOSECONDS);
		}
	}

	@Override
	public void answerCut(Exchange exchange, AnswerCut cut) {
		Counter.builder("vanillatrestle.answers.cut")
			.tags("customer", exchange.contract().customer().value(), "service",
					exchange.call().service().name().value(), "cause", cut.cause().label(), "forwarded",
					Boolean.toString(exchange.isForwarded()))
			.register(this.registry)
			.increment();
	}

	private Counter counter(String name, String customer, String service) {
		return Counter.builder(name).tags("customer", customer, "service", service).register(this.registry);
	}

	private Timer timer(String name, String customer, String service) {
		return Timer.builder(name)
			.tags("customer", customer, "service", service)
			.serviceLevelObjectives(DURATION_BUCKETS)
			.register(this.registry);
	}

	/**
	 * Registers a gauge. Its value is read on each scrape.
	 * @param name the metric's name
	 * @param value supplies the current value
	 */
	public void registerGauge(String name, IntSupplier value) {
		Gauge.builder(name, value::getAsInt).register(this.registry);
	}

	/**
	 * Registers a gauge for the cost of a customer, in millionths of the currency unit.
	 * @param customer the customer
	 * @param micros supplies the accumulated cost in millionths of the currency unit
	 */
	public void registerCostGauge(String customer, LongSupplier micros) {
		Gauge.builder("vanillatrestle.cost.micros", micros::getAsLong)
			.tags("customer", customer)
			.register(this.registry);
	}

	/**
	 * Returns all metrics in the Prometheus text format.
	 * @return the metrics
	 */
	public String scrape() {
		return this.registry.scrape();
	}

}
