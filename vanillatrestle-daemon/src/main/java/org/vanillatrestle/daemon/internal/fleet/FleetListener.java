package org.vanillatrestle.daemon.internal.fleet;

import java.util.concurrent.CompletableFuture;

import org.vanillatrestle.VmId;
import org.vanillatrestle.wire.FleetNews;
import org.vanillatrestle.wire.PeerIdentity;

/**
 * Hears what happens on the links of a VM. Called on the VM's event loop; must not block.
 */
public interface FleetListener {

	/**
	 * A link is up.
	 * @param peer the VM at the other end
	 * @param control whether it is a control VM
	 */
	void connected(PeerIdentity peer, boolean control);

	/**
	 * A link is lost.
	 * @param peer the VM at the other end
	 */
	void disconnected(PeerIdentity peer);

	/**
	 * News have come.
	 * @param sender the VM that sent them
	 * @param news the news
	 */
	void onNews(VmId sender, FleetNews news);

	/**
	 * A message of the replicated log has come.
	 * @param sender the VM that sent it
	 * @param message the bytes
	 */
	default void onLog(VmId sender, byte[] message) {
	}

	/**
	 * A call has come.
	 * @param payload the bytes
	 * @return the answer's bytes
	 */
	default CompletableFuture<byte[]> onCall(byte[] payload) {
		return CompletableFuture.failedFuture(new IllegalStateException("this VM takes no calls"));
	}

}
