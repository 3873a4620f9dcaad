package org.vanillatrestle.internal.membership;

import org.vanillatrestle.VmId;

/**
 * Takes what a {@link Membership} has to send and to tell.
 */
public interface MembershipOutput {

	/**
	 * Sends a message, or drops it if there is no link.
	 * @param receiver the receiver
	 * @param message the message
	 */
	void send(VmId receiver, Gossip message);

	/**
	 * Tells of a change.
	 * @param event the change
	 */
	void changed(MembershipEvent event);

}
