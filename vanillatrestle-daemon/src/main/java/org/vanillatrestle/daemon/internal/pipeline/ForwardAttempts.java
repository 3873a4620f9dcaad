package org.vanillatrestle.daemon.internal.pipeline;

import org.vanillatrestle.internal.request.Placement;

/**
 * Starts attempts by way of a VM of another data centre.
 * <p>
 * Used on the VM's event loop.
 */
public interface ForwardAttempts {

	/**
	 * Starts an attempt.
	 * @param exchange the request, itself not forwarded
	 * @param placement the data centre
	 * @param number the attempt's number
	 * @param resumeOffset the number of stream events to leave out
	 * @param listener hears what comes of it
	 * @return the attempt
	 */
	AttemptHandle start(Exchange exchange, Placement.Forward placement, int number, int resumeOffset,
			AttemptListener listener);

}
