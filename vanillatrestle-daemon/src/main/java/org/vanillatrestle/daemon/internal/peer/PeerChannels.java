package org.vanillatrestle.daemon.internal.peer;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.jboss.logging.Logger;
import org.vanillatrestle.wire.PeerChannel;
import org.vanillatrestle.wire.PeerException;
import org.vanillatrestle.wire.PeerIdentity;

/**
 * Who takes the datagrams and calls of each channel.
 * <p>
 * Not thread safe: used on the event loop. What nobody takes, or its receiver can't read,
 * is dropped or refused.
 */
final class PeerChannels {

	private static final Logger logger = Logger.getLogger(PeerChannels.class);

	private final Map<PeerChannel, DatagramReceiver> receivers = new EnumMap<>(PeerChannel.class);

	private final Map<PeerChannel, CallReceiver> answerers = new EnumMap<>(PeerChannel.class);

	void receive(PeerChannel channel, DatagramReceiver receiver) {
		this.receivers.put(channel, receiver);
	}

	void answer(PeerChannel channel, CallReceiver receiver) {
		this.answerers.put(channel, receiver);
	}

	void datagram(PeerIdentity sender, PeerChannel channel, byte[] payload) {
		DatagramReceiver receiver = this.receivers.get(channel);
		if (receiver == null || sender == null) {
			return;
		}
		try {
			receiver.receive(sender, payload);
		}
		catch (PeerException ex) {
			logger.warnf("Peer: dropped a message of %s. %s", sender.vm(), ex.getMessage());
		}
	}

	CompletableFuture<byte[]> call(PeerIdentity sender, PeerChannel channel, byte[] payload) {
		CallReceiver receiver = this.answerers.get(channel);
		if (receiver == null || sender == null) {
			return CompletableFuture
				.failedFuture(new PeerException(PeerException.Reason.REFUSED, "Nobody answers " + channel + "."));
		}
		try {
			return receiver.answer(sender, payload);
		}
		catch (PeerException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

}
