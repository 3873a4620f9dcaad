package org.vanillatrestle.daemon.internal.pipeline;

import org.vanillatrestle.internal.request.Placement;

/**
 * Starts attempts through a VM of another data centre.
 * <p>
 * Used on the VM's event loop.
 */
public interface ForwardAttempts {

	/**
	 * Starts an attempt.
	 * @param exchange the request, which was not itself forwarded to this VM
	 * @param placement the data centre to forward to
	 * @param number the attempt's number, starting at 1
	 * @param resumeOffset the number of stream events to omit; 0 for the complete answer
	 * @param listener receives the events of the attempt
	 * @return the handle of the attempt
	 */
	AttemptHandle start(Exchange exchange, Placement.Forward placement, int number, int resumeOffset,
			AttemptListener listener);

}
