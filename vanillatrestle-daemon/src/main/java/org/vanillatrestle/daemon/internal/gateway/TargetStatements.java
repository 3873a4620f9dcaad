package org.vanillatrestle.daemon.internal.gateway;

import org.vanillatrestle.daemon.internal.logging.EventKind;
import org.vanillatrestle.daemon.protocol.AnswerMetadata;
import org.vanillatrestle.internal.gateway.InFlightRequest;

/**
 * Applies what a target's response states about further requests: that it is leaving or
 * has taken the place of another target, wants a pause, or takes only so many a second.
 * <p>
 * Stateless. Used only on the VM's event loop.
 */
final class TargetStatements {

	private TargetStatements() {
	}

	/**
	 * Applies the statements of a response and tells the fleet those that concern all
	 * VMs.
	 * @param response what the response states
	 * @param inFlight the answered request
	 * @param request the request, for its dependencies and its id
	 */
	static void apply(AnswerMetadata response, InFlightRequest inFlight, RoutedRequest request) {
		GatewayContext context = request.context();
		if (response.leaving()) {
			context.targetStatements().targetLeaving(inFlight.target().id(), inFlight.targetStartedMillis());
		}
		if (response.misdirected()) {
			context.targetStatements().targetReplaced(inFlight.target().id(), inFlight.targetStartedMillis());
		}
		if (response.pauseMillis() > 0) {
			inFlight.pauseRequested(response.pauseMillis(), System.nanoTime());
			context.telemetry()
				.log(EventKind.TARGET_PAUSED, "target", inFlight.target().id(), "request", request.id(), "born",
						inFlight.targetStartedMillis(), "millis", response.pauseMillis());
		}
		response.requestsPerSecond().ifPresent((limit) -> applyLimit(limit, inFlight, request));
	}

	private static void applyLimit(double requestsPerSecond, InFlightRequest inFlight, RoutedRequest request) {
		boolean wasLimited = inFlight.target().report().limit().isFinite();
		if (!inFlight.limitStated(requestsPerSecond, System.nanoTime())) {
			return;
		}
		GatewayContext context = request.context();
		context.targetStatements()
			.limitChanged(inFlight.target().id(), inFlight.targetStartedMillis(), requestsPerSecond);
		if (!wasLimited && !Double.isFinite(requestsPerSecond)) {
			return;
		}
		context.telemetry()
			.log(EventKind.TARGET_LIMITED, "target", inFlight.target().id(), "request", request.id(), "born",
					inFlight.targetStartedMillis(), "perSecond",
					Double.isFinite(requestsPerSecond) ? requestsPerSecond : null);
	}

}
