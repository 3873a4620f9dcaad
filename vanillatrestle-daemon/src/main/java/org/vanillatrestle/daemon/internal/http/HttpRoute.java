package org.vanillatrestle.daemon.internal.http;

import org.vanillatrestle.daemon.internal.pipeline.AnswerSink;
import org.vanillatrestle.daemon.internal.pipeline.CallerRequest;

/**
 * Serves the requests for certain paths.
 * <p>
 * Must be called on the VM's event loop.
 */
public interface HttpRoute {

	/**
	 * Returns whether the route serves a path.
	 * @param path the path, without the query string
	 * @return whether the route serves requests for the path
	 */
	boolean matches(String path);

	/**
	 * Serves a request.
	 * @param request the request
	 * @param sink receives the answer
	 * @return the listener for events of the connection, or {@code null} if none is
	 * needed
	 */
	ConnectionListener serve(CallerRequest request, AnswerSink sink);

}
