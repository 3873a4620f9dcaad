package org.vanillatrestle.daemon.internal.replica;

import org.vanillatrestle.VmId;

/**
 * Sends messages to other VMs. Messages may be lost, delayed, duplicated and reordered.
 */
public interface ReplicaTransport {

	/**
	 * Sends a message, or drops it if it can't be sent now. Called by the replica's
	 * thread; must not block.
	 * @param to the receiving VM
	 * @param message the encoded message, to be passed to {@link ReplicaHost#receive}
	 */
	void send(VmId to, byte[] message);

}
