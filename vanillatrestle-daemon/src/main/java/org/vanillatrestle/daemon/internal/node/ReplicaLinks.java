package org.vanillatrestle.daemon.internal.node;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;

import io.netty.channel.EventLoop;
import org.vanillatrestle.daemon.internal.peer.PeerService;
import org.vanillatrestle.daemon.internal.replica.ReplicaHost;
import org.vanillatrestle.daemon.internal.replica.ReplicaTransport;
import org.vanillatrestle.wire.PeerChannel;
import org.vanillatrestle.wire.PeerIdentity;

/**
 * Sends and receives the messages of this VM's replicas over the peer links. The first
 * byte of each message identifies the group.
 * <p>
 * Sending is thread safe; everything else is used on the VM's event loop.
 */
final class ReplicaLinks {

	private final EventLoop loop;

	private final Map<Group, ReplicaHost> replicas = new EnumMap<>(Group.class);

	private PeerService peers;

	ReplicaLinks(EventLoop loop) {
		this.loop = loop;
	}

	/**
	 * Returns the transport to the other replicas of a group. It drops messages until
	 * {@link #start} has been called.
	 * @param group the group
	 * @return the transport
	 */
	ReplicaTransport transport(Group group) {
		return (to, message) -> {
			byte[] payload = new byte[message.length + 1];
			payload[0] = (byte) group.ordinal();
			System.arraycopy(message, 0, payload, 1, message.length);
			this.loop.execute(() -> {
				if (this.peers != null) {
					this.peers.node().send(to, PeerChannel.LOG, payload);
				}
			});
		};
	}

	void register(Group group, ReplicaHost replica) {
		this.replicas.put(group, replica);
	}

	void start(PeerService service) {
		this.peers = service;
		service.setDatagramReceiver(PeerChannel.LOG, this::receive);
	}

	private void receive(PeerIdentity sender, byte[] payload) {
		if (payload.length < 1 || payload[0] < 0 || payload[0] >= Group.values().length) {
			return;
		}
		ReplicaHost replica = this.replicas.get(Group.values()[payload[0]]);
		if (replica != null) {
			replica.receive(sender.vm(), Arrays.copyOfRange(payload, 1, payload.length));
		}
	}

	/**
	 * The replicated groups that a VM can be a member of.
	 */
	enum Group {

		/**
		 * Replicates the contract book.
		 */
		CONTROL,

		/**
		 * Replicates the once ledger of the data centre.
		 */
		LEDGER

	}

}
