package org.vanillatrestle.daemon.internal.peer;

import org.vanillatrestle.VmId;

/**
 * Sends messages of one part of the daemon to the same part of another VM. They may be
 * lost, but are not changed. Used on the event loop only.
 */
public interface ReplicaTransport {

	/**
	 * Sends a message, or drops it if there is no link or the link is backlogged.
	 * @param receiver the receiver
	 * @param message the bytes
	 */
	void send(VmId receiver, byte[] message);

}
