package org.vanillatrestle.daemon.internal.http;

import java.util.List;

import org.vanillatrestle.daemon.internal.pipeline.AnswerSink;
import org.vanillatrestle.daemon.internal.pipeline.CallerRequest;
import org.vanillatrestle.daemon.internal.pipeline.Refusals;

/**
 * Passes each request to the first route that serves its path.
 * <p>
 * Must be called on the VM's event loop.
 */
public final class HttpRoutes {

	private final List<HttpRoute> routes;

	public HttpRoutes(List<HttpRoute> routes) {
		this.routes = List.copyOf(routes);
	}

	/**
	 * Serves a request, or refuses it if no route serves its path.
	 * @param request the request
	 * @param sink receives the answer
	 * @return the listener for events of the connection, or {@code null} if none is
	 * needed
	 */
	ConnectionListener serve(CallerRequest request, AnswerSink sink) {
		for (HttpRoute route : this.routes) {
			if (route.matches(request.path())) {
				return route.serve(request, sink);
			}
		}
		sink.refuse(Refusals.notFound(request.path()));
		return null;
	}

}
