package org.vanillatrestle.daemon.internal.gateway;

import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

/**
 * Metrics of a control VM: its replica, what it knows of the fleet, and the calls that it
 * answered.
 * <p>
 * Counted on the VM's event loop; may be read by any thread.
 */
public final class ControlMetrics {

	private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	/**
	 * Adds a value that is read whenever metrics are asked for.
	 * @param name the metric's name
	 * @param value gives the value; may be called by any thread
	 */
	void gauge(String name, Supplier<Number> value) {
		Gauge.builder("vanillatrestle.control." + name, value).register(this.registry);
	}

	/**
	 * Counts an operator's call.
	 * @param order what was called for
	 * @param done whether it was carried out
	 * @param nanos how long it took
	 */
	void recordOperatorCall(String order, boolean done, long nanos) {
		Timer.builder("vanillatrestle.control.operator.calls")
			.tags("order", order, "done", Boolean.toString(done))
			.register(this.registry)
			.record(nanos, TimeUnit.NANOSECONDS);
	}

	/**
	 * Counts something that was answered.
	 * @param what what it was
	 * @param done whether it was answered with success
	 */
	void countResponse(String what, boolean done) {
		Counter.builder("vanillatrestle.control." + what)
			.tags("done", Boolean.toString(done))
			.register(this.registry)
			.increment();
	}

	/**
	 * Writes all metrics in Prometheus' text form.
	 * @return the text
	 */
	public String scrape() {
		return this.registry.scrape();
	}

}
