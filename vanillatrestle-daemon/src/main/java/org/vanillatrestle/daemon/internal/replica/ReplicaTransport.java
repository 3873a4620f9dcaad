package org.vanillatrestle.daemon.internal.replica;

import org.vanillatrestle.VmId;

/**
 * Carries messages to other VMs. May lose, delay, repeat and reorder them.
 */
public interface ReplicaTransport {

	/**
	 * Sends a message, or drops it where it can't be sent now. Must not block; called by
	 * the replica's thread.
	 * @param to the receiving VM
	 * @param message the bytes for {@link ReplicaHost#receive}
	 */
	void send(VmId to, byte[] message);

}
