package org.vanillatrestle.daemon.internal.pipeline;

/**
 * Starts attempts along a route.
 * <p>
 * Used on the VM's event loop.
 */
public interface AttemptStarter {

	/**
	 * Starts an attempt.
	 * @param exchange the request
	 * @param route where it goes, not {@link Route.Nowhere}
	 * @param number the attempt's number, beginning with 1
	 * @param resumeOffset the number of stream events to leave out, 0 for a whole answer
	 * @param listener hears what comes of it
	 * @return the attempt
	 */
	Attempt start(Exchange exchange, Route route, int number, int resumeOffset, AttemptListener listener);

}
