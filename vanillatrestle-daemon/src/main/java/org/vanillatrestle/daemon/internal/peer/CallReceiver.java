package org.vanillatrestle.daemon.internal.peer;

import java.util.concurrent.CompletableFuture;

import org.vanillatrestle.wire.PeerException;
import org.vanillatrestle.wire.PeerIdentity;

/**
 * Answers the calls on one channel. Called on the event loop.
 */
public interface CallReceiver {

	/**
	 * Answers a call.
	 * @param sender the calling VM
	 * @param payload the encoded call
	 * @return the encoded answer; the future may be completed from any thread
	 * @throws PeerException if the payload can't be decoded
	 */
	CompletableFuture<byte[]> answer(PeerIdentity sender, byte[] payload) throws PeerException;

}
