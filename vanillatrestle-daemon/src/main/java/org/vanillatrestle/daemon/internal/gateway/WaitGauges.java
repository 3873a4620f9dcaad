package org.vanillatrestle.daemon.internal.gateway;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.vanillatrestle.ServiceName;
import org.vanillatrestle.internal.gateway.TargetChoice;

/**
 * Publishes for each service how long a request is expected to wait in this region, and
 * the age of the latest answer on which that estimate rests. A long wait that rests on an
 * old answer keeps requests away although the target may be fast again.
 * <p>
 * Invariant: a gauge is registered once for each service. Updated on the VM's event loop;
 * any thread may read the gauges.
 */
final class WaitGauges {

	private static final String WAIT = "vanillatrestle.gateway.expected.wait.millis";

	private static final String AGE = "vanillatrestle.gateway.expected.wait.age.millis";

	private final Map<ServiceName, Sample> samples = new ConcurrentHashMap<>();

	private final RequestTelemetry telemetry;

	WaitGauges(RequestTelemetry telemetry) {
		this.telemetry = telemetry;
	}

	/**
	 * Publishes the present estimate.
	 * @param service the service
	 * @param choice the target for one more request without a prompt, empty if none has
	 * free capacity
	 * @param nowNanos the monotonic time
	 */
	void update(ServiceName service, Optional<TargetChoice> choice, long nowNanos) {
		Sample sample = choice.map((found) -> new Sample(found.waitMillis(), found.target().answerAgeMillis(nowNanos)))
			.orElse(Sample.NONE);
		if (this.samples.put(service, sample) == null) {
			this.telemetry.gauge(WAIT, service.value(), () -> this.samples.get(service).waitMillis());
			this.telemetry.gauge(AGE, service.value(), () -> this.samples.get(service).ageMillis());
		}
	}

	/**
	 * One estimate.
	 *
	 * @param waitMillis the expected wait, -1 if no target has free capacity
	 * @param ageMillis the time since the latest answer, -1 if there was none
	 */
	private record Sample(long waitMillis, long ageMillis) {

		private static final Sample NONE = new Sample(-1, -1);

	}

}
