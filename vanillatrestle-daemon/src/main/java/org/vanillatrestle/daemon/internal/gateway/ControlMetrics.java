package org.vanillatrestle.daemon.internal.gateway;

import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

/**
 * Metrics of a control VM: its replica, its knowledge of the fleet, and the calls that it
 * answered.
 * <p>
 * Updated only on the VM's event loop; any thread may read the metrics.
 */
public final class ControlMetrics {

	private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	/**
	 * Registers a gauge whose value is read whenever the metrics are scraped.
	 * @param name the last part of the metric's name
	 * @param value supplies the value; may be called by any thread
	 */
	void gauge(String name, Supplier<Number> value) {
		Gauge.builder("vanillatrestle.control." + name, value).register(this.registry);
	}

	/**
	 * Counts a call by an operator and records its duration.
	 * @param operation the kind of operation requested
	 * @param succeeded whether it was carried out
	 * @param nanos the duration
	 */
	void recordOperatorCall(String operation, boolean succeeded, long nanos) {
		Timer.builder("vanillatrestle.control.operator.calls")
			.tags("order", operation, "done", Boolean.toString(succeeded))
			.register(this.registry)
			.record(nanos, TimeUnit.NANOSECONDS);
	}

	/**
	 * Counts an answered call.
	 * @param kind the kind of call, the last part of the metric's name
	 * @param succeeded whether the call succeeded
	 */
	void countResponse(String kind, boolean succeeded) {
		Counter.builder("vanillatrestle.control." + kind)
			.tags("done", Boolean.toString(succeeded))
			.register(this.registry)
			.increment();
	}

	/**
	 * Returns all metrics in the Prometheus text format.
	 * @return the text
	 */
	public String scrape() {
		return this.registry.scrape();
	}

}
