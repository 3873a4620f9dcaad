package org.vanillatrestle.daemon.internal.forward;

import io.netty.handler.codec.http.HttpHeaders;
import org.vanillatrestle.daemon.internal.pipeline.CallerRequest;
import org.vanillatrestle.daemon.internal.pipeline.HeaderNames;
import org.vanillatrestle.wire.ReceivedRequest;

/**
 * Converts forwarded requests to the caller requests that the pipeline processes.
 * <p>
 * Stateless and thread safe.
 */
final class ReceivedRequestConverter {

	private ReceivedRequestConverter() {
	}

	static CallerRequest toCallerRequest(ReceivedRequest request, byte[] body) {
		HttpHeaders headers = ForwardHeaders.toHttp(request.headers());
		headers.set(HeaderNames.DEADLINE_MILLIS, Integer.toString(Math.max(1, request.deadlineRemainingMillis())));
		String uri = request.path();
		int queryStart = uri.indexOf('?');
		String path = (queryStart < 0) ? uri : uri.substring(0, queryStart);
		String query = (queryStart < 0) ? "" : uri.substring(queryStart + 1);
		return new CallerRequest(request.method(), path, query, headers, body);
	}

}
