package org.vanillatrestle.internal.membership;

import org.vanillatrestle.VmId;

/**
 * Takes what a {@link SummaryExchange} has to send and to tell.
 */
public interface SummaryOutput {

	/**
	 * Sends a message, or drops it if there is no link.
	 * @param receiver the receiver
	 * @param message the message
	 */
	void send(VmId receiver, SummaryMessage message);

	/**
	 * Tells that a region became reachable or unreachable.
	 * @param reach the new state
	 */
	void changed(RegionReach reach);

}
