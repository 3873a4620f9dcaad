package org.vanillatrestle.daemon.internal.gateway;

import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.vanillatrestle.daemon.internal.logging.EventKind;
import org.vanillatrestle.daemon.internal.logging.EventLog;

/**
 * Logs and counts what becomes of requests.
 * <p>
 * Lines are bounded: beyond a limit of each kind a second, lines are left out and the
 * next one tells how many. Used on the VM's event loop; metrics may be read by any
 * thread.
 */
public final class RequestTelemetry {

	private static final int LINES_PER_SECOND = 50;

	private static final Duration[] BUCKETS = { Duration.ofMillis(20), Duration.ofMillis(100), Duration.ofMillis(400),
			Duration.ofMillis(1_200), Duration.ofSeconds(3), Duration.ofSeconds(12) };

	private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	private final long[] second = new long[EventKind.values().length];

	private final int[] lines = new int[EventKind.values().length];

	private final int[] leftOut = new int[EventKind.values().length];

	/**
	 * Logs an event of a request.
	 * @param kind the kind of event
	 * @param fields names and values by turns
	 */
	void log(EventKind kind, Object... fields) {
		int row = kind.ordinal();
		long now = System.nanoTime() / 1_000_000_000L;
		if (now != this.second[row]) {
			this.second[row] = now;
			this.lines[row] = 0;
		}
		if (this.lines[row] >= LINES_PER_SECOND) {
			this.leftOut[row]++;
			return;
		}
		this.lines[row]++;
		if (this.leftOut[row] == 0) {
			EventLog.write(kind, fields);
			return;
		}
		Object[] extended = Arrays.copyOf(fields, fields.length + 2);
		extended[fields.length] = "leftOutBefore";
		extended[fields.length + 1] = this.leftOut[row];
		this.leftOut[row] = 0;
		EventLog.write(kind, extended);
	}

	/**
	 * Counts the end of a request.
	 * @param service the service
	 * @param outcome the outcome
	 * @param reason the reason of a refusal or failure
	 * @param totalNanos how long the request took
	 */
	void recordCompletion(String service, EventKind outcome, String reason, long totalNanos) {
		Counter.builder("vanillatrestle.gateway.requests")
			.tags("service", service, "outcome", outcome.label(), "reason", reason)
			.register(this.registry)
			.increment();
		Timer.builder("vanillatrestle.gateway.request.duration")
			.tags("service", service, "outcome", outcome.label())
			.serviceLevelObjectives(BUCKETS)
			.register(this.registry)
			.record(totalNanos, TimeUnit.NANOSECONDS);
	}

	/**
	 * Counts the first part of an answer.
	 * @param service the service
	 * @param nanos the time since the request came
	 */
	void recordFirstPart(String service, long nanos) {
		Timer.builder("vanillatrestle.gateway.first.part")
			.tags("service", service)
			.serviceLevelObjectives(BUCKETS)
			.register(this.registry)
			.record(nanos, TimeUnit.NANOSECONDS);
	}

	/**
	 * Counts something that happens to requests or targets.
	 * @param what what happened
	 * @param service the service
	 */
	void count(String what, String service) {
		Counter.builder("vanillatrestle.gateway." + what).tags("service", service).register(this.registry).increment();
	}

	/**
	 * Adds a value that is read whenever metrics are asked for.
	 * @param name the metric's name
	 * @param value gives the value; may be called by any thread
	 */
	public void gauge(String name, Supplier<Number> value) {
		Gauge.builder(name, value).register(this.registry);
	}

	/**
	 * Writes all metrics in Prometheus' text form.
	 * @return the text
	 */
	public String scrape() {
		return this.registry.scrape();
	}

}
