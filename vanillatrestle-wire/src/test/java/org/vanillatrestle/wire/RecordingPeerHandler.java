package org.vanillatrestle.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.vanillatrestle.VmId;

/**
 * Records what a node is told and echoes calls, unless told to leave them unanswered.
 */
final class RecordingPeerHandler implements PeerHandler {

	final List<VmId> connected = new ArrayList<>();

	final List<VmId> disconnected = new ArrayList<>();

	final List<String> datagrams = new ArrayList<>();

	final List<String> calls = new ArrayList<>();

	CompletableFuture<byte[]> answer;

	@Override
	public void onConnected(PeerIdentity peer, long appliedIndex) {
		this.connected.add(peer.vm());
	}

	@Override
	public void onDisconnected(PeerIdentity peer) {
		this.disconnected.add(peer.vm());
	}

	@Override
	public void onDatagram(VmId sender, PeerChannel channel, byte[] payload) {
		this.datagrams.add(sender + " " + channel + " " + new String(payload));
	}

	@Override
	public CompletableFuture<byte[]> onCall(VmId sender, PeerChannel channel, byte[] payload) {
		this.calls.add(sender + " " + channel + " " + new String(payload));
		return (this.answer != null) ? this.answer : CompletableFuture.completedFuture(payload);
	}

}
