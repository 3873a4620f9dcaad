package org.vanillatrestle.internal.membership;

import org.vanillatrestle.VmId;

/**
 * Receives the messages and events that a {@link SummaryExchange} emits.
 */
public interface SummaryOutput {

	/**
	 * Sends a message, or drops it if there is no link.
	 * @param receiver the receiver
	 * @param message the message
	 */
	void send(VmId receiver, SummaryMessage message);

	/**
	 * Reports that a region became reachable or unreachable.
	 * @param reachability the new state
	 */
	void changed(RegionReachability reachability);

}
