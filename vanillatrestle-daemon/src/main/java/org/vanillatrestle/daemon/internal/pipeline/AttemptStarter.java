package org.vanillatrestle.daemon.internal.pipeline;

import org.vanillatrestle.internal.request.Placement;

/**
 * Starts attempts where the policy has placed them.
 * <p>
 * Used on the VM's event loop.
 */
public final class AttemptStarter {

	private final LocalAttempts local;

	private final ForwardAttempts forward;

	/**
	 * Creates a starter.
	 * @param local starts attempts at targets of this data centre
	 * @param forward starts attempts by way of VMs of other data centres
	 */
	public AttemptStarter(LocalAttempts local, ForwardAttempts forward) {
		this.local = local;
		this.forward = forward;
	}

	/**
	 * Starts an attempt.
	 * @param exchange the request
	 * @param placement where it goes, not {@code None}
	 * @param number the attempt's number, beginning with 1
	 * @param resumeOffset the number of stream events to leave out, 0 for a whole answer
	 * @param listener hears what comes of it
	 * @return the attempt
	 */
	AttemptHandle start(Exchange exchange, Placement placement, int number, int resumeOffset,
			AttemptListener listener) {
		if (placement instanceof Placement.Local target) {
			return this.local.start(exchange, target, number, resumeOffset, listener);
		}
		if (placement instanceof Placement.Forward dataCentre) {
			return this.forward.start(exchange, dataCentre, number, resumeOffset, listener);
		}
		throw new IllegalArgumentException("An attempt needs a place to go.");
	}

}
