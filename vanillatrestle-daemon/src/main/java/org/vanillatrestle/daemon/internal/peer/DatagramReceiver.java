package org.vanillatrestle.daemon.internal.peer;

import org.vanillatrestle.wire.PeerException;
import org.vanillatrestle.wire.PeerIdentity;

/**
 * Takes datagrams of one channel, on the event loop.
 */
public interface DatagramReceiver {

	/**
	 * Takes a datagram.
	 * @param sender who sent it
	 * @param payload its bytes
	 * @throws PeerException if the bytes can't be read
	 */
	void receive(PeerIdentity sender, byte[] payload) throws PeerException;

}
