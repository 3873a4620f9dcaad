package org.vanillatrestle.internal.membership;

import org.vanillatrestle.VmId;

/**
 * Receives the messages and events that a {@link Membership} emits.
 */
public interface MembershipOutput {

	/**
	 * Sends a message, or drops it if there is no link.
	 * @param receiver the receiver
	 * @param message the message
	 */
	void send(VmId receiver, Gossip message);

	/**
	 * Reports a change of the membership.
	 * @param event the change
	 */
	void changed(MembershipEvent event);

}
