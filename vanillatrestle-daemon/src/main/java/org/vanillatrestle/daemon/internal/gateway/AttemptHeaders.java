package org.vanillatrestle.daemon.internal.gateway;

import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.daemon.internal.pipeline.HeaderNames;
import org.vanillatrestle.daemon.protocol.OutgoingRequestOptions;
import org.vanillatrestle.internal.target.TargetAddress;

/**
 * The headers of a request as it is sent to a target or to another VM.
 * <p>
 * Stateless. Used only on the VM's event loop.
 */
final class AttemptHeaders {

	/**
	 * Header that names the service of a request forwarded by another VM.
	 */
	static final String SERVICE_HEADER = "Vanillatrestle-Service";

	private static final int MAX_PRIORITY = 9;

	private AttemptHeaders() {
	}

	/**
	 * Creates the headers of an attempt.
	 * @param request the request
	 * @param target the target that gets the request, empty if another VM gets it
	 * @param copyFrom the target from which cached prompt parts are copied, if any
	 * @return the headers
	 */
	static HttpHeaders create(RoutedRequest request, Optional<TargetId> target, Optional<TargetAddress> copyFrom) {
		Optional<Integer> priority = target
			.map((id) -> Math.min(MAX_PRIORITY, Math.max(0, request.route().priority())));
		OutgoingRequestOptions terms = new OutgoingRequestOptions(target, Math.max(1, request.remainingMillis()),
				priority, request.relay().lastEventId(), copyFrom);
		HttpHeaders headers = request.context().protocol().outgoingHeaders(request.request().headers(), terms);
		headers.remove(SERVICE_HEADER);
		headers.remove(HeaderNames.TRIED_TARGETS);
		headers.set(HttpHeaderNames.HOST, request.request().header(HttpHeaderNames.HOST));
		if (target.isEmpty()) {
			headers.set(SERVICE_HEADER, request.shape().service().name().value());
			headers.set(HeaderNames.TRIED_TARGETS, RemoteError.join(request.attempts().triedTargets()));
		}
		return headers;
	}

}
