package org.vanillatrestle.bench.internal.peer;

import java.util.concurrent.CompletableFuture;

import org.vanillatrestle.VmId;
import org.vanillatrestle.wire.PeerChannel;
import org.vanillatrestle.wire.PeerHandler;
import org.vanillatrestle.wire.PeerIdentity;

/**
 * Takes no datagrams and echoes calls.
 * <p>
 * Stateless and thread safe.
 */
final class SilentPeer implements PeerHandler {

	@Override
	public void onConnected(PeerIdentity peer, long appliedIndex) {
	}

	@Override
	public void onDisconnected(PeerIdentity peer) {
	}

	@Override
	public void onDatagram(VmId sender, PeerChannel channel, byte[] payload) {
	}

	@Override
	public CompletableFuture<byte[]> onCall(VmId sender, PeerChannel channel, byte[] payload) {
		return CompletableFuture.completedFuture(payload);
	}

}
