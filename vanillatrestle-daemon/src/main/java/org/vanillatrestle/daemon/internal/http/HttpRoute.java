package org.vanillatrestle.daemon.internal.http;

import org.vanillatrestle.daemon.internal.pipeline.AnswerSink;
import org.vanillatrestle.daemon.internal.pipeline.CallerRequest;

/**
 * What serves the requests at some paths.
 * <p>
 * Used on the VM's event loop.
 */
public interface HttpRoute {

	/**
	 * Tells whether the route serves a path.
	 * @param path the path, without a query
	 * @return whether to hand the request to it
	 */
	boolean matches(String path);

	/**
	 * Serves a request.
	 * @param request the request
	 * @param sink where the answer goes
	 * @return what is told of the connection, or {@code null} if the route need not know
	 */
	ConnectionListener serve(CallerRequest request, AnswerSink sink);

}
