package org.vanillatrestle.daemon.internal.peer;

import org.vanillatrestle.VmId;

/**
 * Sends messages from one component of the daemon to the same component on another VM.
 * Messages may be lost, but are never altered. Used on the event loop only.
 */
public interface ReplicaTransport {

	/**
	 * Sends a message, or drops it if there is no link or the link is backlogged.
	 * @param receiver the receiving VM
	 * @param message the encoded message
	 */
	void send(VmId receiver, byte[] message);

}
