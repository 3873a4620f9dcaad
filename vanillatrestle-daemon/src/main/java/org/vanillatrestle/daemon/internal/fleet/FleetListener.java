package org.vanillatrestle.daemon.internal.fleet;

import java.util.concurrent.CompletableFuture;

import org.vanillatrestle.VmId;
import org.vanillatrestle.wire.FleetNews;
import org.vanillatrestle.wire.PeerIdentity;

/**
 * Receives the events of a VM's links. Called on the VM's event loop; must not block.
 */
public interface FleetListener {

	/**
	 * Called when a link has been established.
	 * @param peer the VM at the other end
	 * @param control whether it is a control VM
	 */
	void connected(PeerIdentity peer, boolean control);

	/**
	 * Called when a link has been lost.
	 * @param peer the VM at the other end
	 */
	void disconnected(PeerIdentity peer);

	/**
	 * Called when a fleet message has arrived.
	 * @param sender the VM that sent it
	 * @param news the message
	 */
	void onNews(VmId sender, FleetNews news);

	/**
	 * Called when a message of the replicated log has arrived.
	 * @param sender the VM that sent it
	 * @param message the encoded message
	 */
	default void onLog(VmId sender, byte[] message) {
	}

	/**
	 * Called when another VM makes a call.
	 * @param payload the encoded call
	 * @return the encoded reply
	 */
	default CompletableFuture<byte[]> onCall(byte[] payload) {
		return CompletableFuture.failedFuture(new IllegalStateException("this VM does not accept calls"));
	}

}
