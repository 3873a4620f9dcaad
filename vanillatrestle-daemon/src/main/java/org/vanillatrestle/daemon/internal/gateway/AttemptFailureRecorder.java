package org.vanillatrestle.daemon.internal.gateway;

import java.util.Optional;

import org.vanillatrestle.daemon.internal.logging.EventKind;
import org.vanillatrestle.internal.gateway.InFlightRequest;
import org.vanillatrestle.internal.gateway.RemoteEntries;

/**
 * Records the failure of an attempt in the health of its target or VM.
 * <p>
 * Used only on the VM's event loop.
 */
final class AttemptFailureRecorder {

	private final RoutedRequest request;

	private final Optional<InFlightRequest> targetRequest;

	private final Optional<RemoteEntries.RemoteRequest> remoteRequest;

	AttemptFailureRecorder(RoutedRequest request, Optional<InFlightRequest> targetRequest,
			Optional<RemoteEntries.RemoteRequest> remoteRequest) {
		this.request = request;
		this.targetRequest = targetRequest;
		this.remoteRequest = remoteRequest;
	}

	void failed(boolean unreachable, long nowNanos) {
		targetFailed(unreachable, nowNanos);
		this.remoteRequest.ifPresent((inFlight) -> remoteFailed(inFlight, unreachable, nowNanos));
	}

	/**
	 * Records that the attempt made no progress. A target whose other answers go on has
	 * preempted this one or is busy, which is no failure.
	 * @param stalledMillis the time without progress
	 * @param nowNanos the monotonic time
	 */
	void stalled(long stalledMillis, long nowNanos) {
		this.targetRequest.filter((inFlight) -> inFlight.target().silentMillis(nowNanos) < stalledMillis)
			.ifPresent(InFlightRequest::end);
		failed(false, nowNanos);
	}

	void targetFailed(boolean unreachable, long nowNanos) {
		this.targetRequest.filter((inFlight) -> inFlight.failed(unreachable, nowNanos)).ifPresent((inFlight) -> {
			this.request.context()
				.telemetry()
				.log(EventKind.TARGET_EJECTED, "target", inFlight.target().id(), "unreachable", unreachable);
			this.request.context().telemetry().count("ejections", this.request.shape().service().name().value());
		});
	}

	private void remoteFailed(RemoteEntries.RemoteRequest inFlight, boolean unreachable, long nowNanos) {
		if (inFlight.failed(unreachable, nowNanos)) {
			this.request.context()
				.telemetry()
				.log(EventKind.REGION_UNREACHABLE, "region", inFlight.choice().region(), "vm", inFlight.choice().vm(),
						"request", this.request.id());
		}
	}

}
