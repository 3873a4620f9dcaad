package org.vanillatrestle.daemon.internal.pipeline;

import org.vanillatrestle.internal.request.Placement;

/**
 * Starts attempts at the targets or data centres that the policy selected.
 * <p>
 * Used on the VM's event loop.
 */
public final class AttemptStarter {

	private final LocalAttempts localAttempts;

	private final ForwardAttempts forwardAttempts;

	/**
	 * Creates a starter.
	 * @param localAttempts starts attempts at targets of this data centre
	 * @param forwardAttempts starts attempts through VMs of other data centres
	 */
	public AttemptStarter(LocalAttempts localAttempts, ForwardAttempts forwardAttempts) {
		this.localAttempts = localAttempts;
		this.forwardAttempts = forwardAttempts;
	}

	/**
	 * Starts an attempt.
	 * @param exchange the request
	 * @param placement the target or data centre; not {@code None}
	 * @param number the attempt's number, starting at 1
	 * @param resumeOffset the number of stream events to omit; 0 for the complete answer
	 * @param listener receives the events of the attempt
	 * @return the handle of the attempt
	 */
	AttemptHandle start(Exchange exchange, Placement placement, int number, int resumeOffset,
			AttemptListener listener) {
		if (placement instanceof Placement.Local target) {
			return this.localAttempts.start(exchange, target, number, resumeOffset, listener);
		}
		if (placement instanceof Placement.Forward dataCentre) {
			return this.forwardAttempts.start(exchange, dataCentre, number, resumeOffset, listener);
		}
		throw new IllegalArgumentException("An attempt can't start without a target or a data centre.");
	}

}
