package org.vanillatrestle.daemon.internal.peer;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.jboss.logging.Logger;
import org.vanillatrestle.wire.PeerChannel;
import org.vanillatrestle.wire.PeerException;
import org.vanillatrestle.wire.PeerIdentity;

/**
 * Dispatches datagrams and calls to the receiver of their channel.
 * <p>
 * Not thread safe: used on the event loop. Datagrams without a receiver, or that their
 * receiver can't decode, are dropped; such calls fail.
 */
final class PeerChannels {

	private static final Logger logger = Logger.getLogger(PeerChannels.class);

	private final Map<PeerChannel, DatagramReceiver> datagramReceivers = new EnumMap<>(PeerChannel.class);

	private final Map<PeerChannel, CallReceiver> callReceivers = new EnumMap<>(PeerChannel.class);

	void setDatagramReceiver(PeerChannel channel, DatagramReceiver receiver) {
		this.datagramReceivers.put(channel, receiver);
	}

	void setCallReceiver(PeerChannel channel, CallReceiver receiver) {
		this.callReceivers.put(channel, receiver);
	}

	void dispatchDatagram(PeerIdentity sender, PeerChannel channel, byte[] payload) {
		DatagramReceiver receiver = this.datagramReceivers.get(channel);
		if (receiver == null || sender == null) {
			return;
		}
		try {
			receiver.receive(sender, payload);
		}
		catch (PeerException ex) {
			logger.warnf("Peer: dropped a message from %s. %s", sender.vm(), ex.getMessage());
		}
	}

	CompletableFuture<byte[]> dispatchCall(PeerIdentity sender, PeerChannel channel, byte[] payload) {
		CallReceiver receiver = this.callReceivers.get(channel);
		if (receiver == null || sender == null) {
			return CompletableFuture.failedFuture(new PeerException(PeerException.Reason.REFUSED,
					"No receiver answers calls on channel " + channel + "."));
		}
		try {
			return receiver.answer(sender, payload);
		}
		catch (PeerException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

}
