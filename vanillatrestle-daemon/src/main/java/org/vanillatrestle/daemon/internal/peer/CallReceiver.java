package org.vanillatrestle.daemon.internal.peer;

import java.util.concurrent.CompletableFuture;

import org.vanillatrestle.wire.PeerException;
import org.vanillatrestle.wire.PeerIdentity;

/**
 * Answers calls of one channel, on the event loop.
 */
public interface CallReceiver {

	/**
	 * Answers a call.
	 * @param sender who calls
	 * @param payload its bytes
	 * @return the answer, may be completed from any thread
	 * @throws PeerException if the bytes can't be read
	 */
	CompletableFuture<byte[]> answer(PeerIdentity sender, byte[] payload) throws PeerException;

}
