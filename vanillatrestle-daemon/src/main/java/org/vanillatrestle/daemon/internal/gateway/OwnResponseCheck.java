package org.vanillatrestle.daemon.internal.gateway;

import java.util.function.Predicate;

import io.netty.handler.codec.http.HttpHeaders;
import org.vanillatrestle.daemon.internal.logging.EventKind;
import org.vanillatrestle.daemon.internal.pipeline.HeaderNames;

/**
 * Tells whether a response belongs to one attempt, and records each one that does not.
 * <p>
 * A target names the request that it answers. A response that names another request, or
 * none, is a second one that comes late: it may be a success where the target has
 * answered this request with a failure. A VM does not name the request in errors of its
 * own, and sends one response to each request. Used only on the VM's event loop.
 */
final class OwnResponseCheck implements Predicate<HttpHeaders> {

	private final RoutedRequest request;

	private final String destination;

	private final boolean fromVm;

	/**
	 * Creates a check.
	 * @param request the request
	 * @param destination the target or VM that the attempt is sent to
	 * @param fromVm whether it is sent to a VM
	 */
	OwnResponseCheck(RoutedRequest request, String destination, boolean fromVm) {
		this.request = request;
		this.destination = destination;
		this.fromVm = fromVm;
	}

	@Override
	public boolean test(HttpHeaders response) {
		GatewayContext context = this.request.context();
		if ((this.fromVm && response.contains(HeaderNames.VERDICT))
				|| context.protocol().isAnswerTo(response, this.request.id())) {
			return true;
		}
		context.telemetry().count("stray.responses", this.request.shape().service().name().value());
		context.telemetry().log(EventKind.STRAY_RESPONSE, "request", this.request.id(), "at", this.destination);
		return false;
	}

}
