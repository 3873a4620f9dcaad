package org.vanillatrestle.daemon.internal.peer;

import org.vanillatrestle.wire.PeerException;
import org.vanillatrestle.wire.PeerIdentity;

/**
 * Receives the datagrams on one channel. Called on the event loop.
 */
public interface DatagramReceiver {

	/**
	 * Receives a datagram.
	 * @param sender the sending VM
	 * @param payload the encoded message
	 * @throws PeerException if the payload can't be decoded
	 */
	void receive(PeerIdentity sender, byte[] payload) throws PeerException;

}
