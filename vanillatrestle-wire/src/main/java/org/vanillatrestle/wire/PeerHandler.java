package org.vanillatrestle.wire;

import java.util.concurrent.CompletableFuture;

import org.vanillatrestle.VmId;

/**
 * What a daemon does with the links of its VM. All methods run on the VM's event loop and
 * must not block.
 */
public interface PeerHandler {

	/**
	 * Called when a link to a VM has been set up.
	 * @param peer the VM at the other end
	 * @param appliedIndex the peer's applied index of the contract book
	 */
	void onConnected(PeerIdentity peer, long appliedIndex);

	/**
	 * Called when the last link to a VM has been lost.
	 * @param peer the VM at the other end
	 */
	void onDisconnected(PeerIdentity peer);

	/**
	 * Called for each datagram; it may have been sent twice or late.
	 * @param sender the VM that sent it
	 * @param channel the part of the daemon that it is for
	 * @param payload the bytes sent
	 */
	void onDatagram(VmId sender, PeerChannel channel, byte[] payload);

	/**
	 * Called for each call.
	 * @param sender the VM that calls
	 * @param channel the part of the daemon that it is for
	 * @param payload the bytes sent
	 * @return the answer; the message of an exception is sent to the peer. May be
	 * completed from any thread
	 */
	CompletableFuture<byte[]> onCall(VmId sender, PeerChannel channel, byte[] payload);

}
