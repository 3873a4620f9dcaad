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
import org.vanillatrestle.internal.gateway.RequestShape;

/**
 * Logs the events of requests and records metrics of their outcomes.
 * <p>
 * The log is rate limited: lines beyond a maximum per second and kind of event are
 * omitted, and the next line of that kind reports how many. Used only on the VM's event
 * loop, except that any thread may read the metrics.
 */
public final class RequestTelemetry {

	private static final int MAX_LINES_PER_SECOND = 50;

	private static final Duration[] DURATION_BUCKETS = { Duration.ofMillis(20), Duration.ofMillis(100),
			Duration.ofMillis(400), Duration.ofMillis(1_200), Duration.ofSeconds(3), Duration.ofSeconds(12) };

	private static final int[] OUTPUT_TOKEN_BUCKETS = { 50, 200, 400, 800 };

	private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	private final long[] currentSeconds = new long[EventKind.values().length];

	private final int[] linesInSecond = new int[EventKind.values().length];

	private final int[] omittedLines = new int[EventKind.values().length];

	/**
	 * Logs an event of a request.
	 * @param kind the kind of event
	 * @param fields alternating field names and values
	 */
	void log(EventKind kind, Object... fields) {
		int kindIndex = kind.ordinal();
		long nowSeconds = System.nanoTime() / 1_000_000_000L;
		if (nowSeconds != this.currentSeconds[kindIndex]) {
			this.currentSeconds[kindIndex] = nowSeconds;
			this.linesInSecond[kindIndex] = 0;
		}
		if (this.linesInSecond[kindIndex] >= MAX_LINES_PER_SECOND) {
			this.omittedLines[kindIndex]++;
			return;
		}
		this.linesInSecond[kindIndex]++;
		if (this.omittedLines[kindIndex] == 0) {
			EventLog.write(kind, fields);
			return;
		}
		Object[] extended = Arrays.copyOf(fields, fields.length + 2);
		extended[fields.length] = "leftOutBefore";
		extended[fields.length + 1] = this.omittedLines[kindIndex];
		this.omittedLines[kindIndex] = 0;
		EventLog.write(kind, extended);
	}

	/**
	 * Counts a completed request and records its duration.
	 * @param service the service's name
	 * @param outcome the outcome
	 * @param reason the reason for a refusal or failure, empty if there is none
	 * @param totalNanos the time from the arrival of the request to its end
	 */
	void recordCompletion(String service, EventKind outcome, String reason, long totalNanos) {
		Counter.builder("vanillatrestle.gateway.requests")
			.tags("service", service, "outcome", outcome.label(), "reason", reason)
			.register(this.registry)
			.increment();
		Timer.builder("vanillatrestle.gateway.request.duration")
			.tags("service", service, "outcome", outcome.label())
			.serviceLevelObjectives(DURATION_BUCKETS)
			.register(this.registry)
			.record(totalNanos, TimeUnit.NANOSECONDS);
	}

	/**
	 * Records the time to the first part of a response.
	 * @param service the service's name
	 * @param nanos the time since the request arrived
	 */
	void recordFirstPart(String service, long nanos) {
		Timer.builder("vanillatrestle.gateway.first.part")
			.tags("service", service)
			.serviceLevelObjectives(DURATION_BUCKETS)
			.register(this.registry)
			.record(nanos, TimeUnit.NANOSECONDS);
	}

	/**
	 * Counts an event of a request or a target.
	 * @param event the last part of the metric's name
	 * @param service the service's name
	 */
	void count(String event, String service) {
		Counter.builder("vanillatrestle.gateway." + event).tags("service", service).register(this.registry).increment();
	}

	/**
	 * Counts a decision about sending a request again.
	 * @param service the service's name
	 * @param cause why the attempt before failed
	 * @param outcome whether the retry was granted, and at whose expense, or why not
	 */
	void countRetry(String service, String cause, String outcome) {
		Counter.builder("vanillatrestle.gateway.retry.decisions")
			.tags("service", service, "cause", cause, "outcome", outcome)
			.register(this.registry)
			.increment();
	}

	/**
	 * Counts an attempt that makes no progress.
	 * @param service the service's name
	 * @param silent what is silent: {@code request} if other answers of the target make
	 * progress, {@code target} if none does at this VM, {@code vm} for another VM
	 */
	void countStall(String service, String silent) {
		Counter.builder("vanillatrestle.gateway.stalls")
			.tags("service", service, "silent", silent)
			.register(this.registry)
			.increment();
	}

	/**
	 * Counts an answer that was broken off after it had begun.
	 * @param service the service's name
	 * @param cause why it was not continued
	 */
	void countCut(String service, String cause) {
		Counter.builder("vanillatrestle.gateway.answers.cut")
			.tags("service", service, "cause", cause)
			.register(this.registry)
			.increment();
	}

	/**
	 * Counts a completed request of a model by its size.
	 * @param shape the request
	 * @param outcome the outcome
	 */
	void recordSize(RequestShape shape, EventKind outcome) {
		if (shape.service().engine().isEmpty()) {
			return;
		}
		Counter.builder("vanillatrestle.gateway.requests.by.output")
			.tags("service", shape.service().name().value(), "outcome", outcome.label(), "maxOutputTokens",
					outputBucket(shape))
			.register(this.registry)
			.increment();
	}

	private static String outputBucket(RequestShape shape) {
		for (int limit : OUTPUT_TOKEN_BUCKETS) {
			if (shape.maxOutputTokens() <= limit) {
				return "<=" + limit;
			}
		}
		return "more";
	}

	/**
	 * Registers a gauge whose value is read whenever the metrics are scraped.
	 * @param name the metric's name
	 * @param value supplies the value; may be called by any thread
	 */
	public void gauge(String name, Supplier<Number> value) {
		Gauge.builder(name, value).register(this.registry);
	}

	/**
	 * Registers a gauge of one service whose value is read whenever the metrics are
	 * scraped.
	 * @param name the metric's name
	 * @param service the service's name
	 * @param value supplies the value; may be called by any thread
	 */
	void gauge(String name, String service, Supplier<Number> value) {
		Gauge.builder(name, value).tags("service", service).register(this.registry);
	}

	/**
	 * Returns all metrics in the Prometheus text format.
	 * @return the text
	 */
	public String scrape() {
		return this.registry.scrape();
	}

}
