package org.vanillatrestle.daemon.internal.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import io.netty.channel.EventLoop;
import org.apache.commons.rng.UniformRandomProvider;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.InvalidDocumentException;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.VmId;
import org.vanillatrestle.daemon.GatewayRole;
import org.vanillatrestle.daemon.GatewaySettings;
import org.vanillatrestle.daemon.internal.logging.EventKind;
import org.vanillatrestle.daemon.internal.logging.EventLog;
import org.vanillatrestle.daemon.internal.settings.HostAndPort;
import org.vanillatrestle.internal.log.VmLocation;
import org.vanillatrestle.wire.FleetCodec;
import org.vanillatrestle.wire.FleetNews;
import org.vanillatrestle.wire.MalformedMessageException;
import org.vanillatrestle.wire.PeerChannel;
import org.vanillatrestle.wire.PeerHandler;
import org.vanillatrestle.wire.PeerIdentity;
import org.vanillatrestle.wire.PeerNode;
import org.vanillatrestle.wire.PeerSettings;

/**
 * Manages the links of a VM to the control VMs, which it discovers through the seeds.
 * <p>
 * Every VM keeps a link to each control VM whose address it has received. Confined to the
 * VM's event loop, except for {@link #listen()}.
 */
public final class FleetLinks {

	private static final String NO_ADDRESS = "none";

	/**
	 * How long the VM keeps dialling an address that no VM announces any more.
	 */
	private static final long ADDRESS_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(60);

	/**
	 * The longest delay between attempts to connect to a VM. After a power failure an
	 * entry VM may start a few hundred milliseconds before the control VMs, and it serves
	 * no requests until it has a link.
	 */
	private static final int MAX_BACKOFF_MILLIS = 200;

	private static final PeerSettings PEER_SETTINGS = peerSettings();

	private final GatewaySettings settings;

	private final EventLoop loop;

	private final PeerNode node;

	private final Map<VmId, PeerIdentity> peers = new HashMap<>();

	private final Map<InetSocketAddress, Long> lastDialledNanos = new HashMap<>();

	/**
	 * Cache of parsed addresses, since each one is announced many times a second.
	 */
	private final Map<String, InetSocketAddress> parsedAddresses = new HashMap<>();

	private final InetSocketAddress ownAddress;

	private Set<InetSocketAddress> seeds;

	private FleetListener listener;

	/**
	 * Creates the links without listening or connecting yet.
	 * @param settings the VM's settings
	 * @param loop the VM's event loop
	 * @param random the source of jitter
	 * @throws IOException if the peer node can't be created
	 */
	public FleetLinks(GatewaySettings settings, EventLoop loop, UniformRandomProvider random) throws IOException {
		this.settings = settings;
		this.loop = loop;
		this.ownAddress = ownAddress().toSocketAddress();
		setSeeds(settings.seeds());
		this.node = new PeerNode(loop, PEER_SETTINGS, null, new Handler(), (exchange) -> {
			throw new IllegalStateException("requests are not forwarded over the links of a declared deployment");
		}, () -> 0L, random);
	}

	// timeouts shorter than the defaults: a silent link must be detected well within the
	// time in which a change has to come into force
	private static PeerSettings peerSettings() {
		PeerSettings defaults = PeerSettings.defaults();
		int maxMessageBytes = 8 * defaults.maxMessageBytes();
		return new PeerSettings(maxMessageBytes, defaults.streamWindowBytes(), defaults.maxFrameBytes(), 64,
				defaults.maxCalls(), maxMessageBytes, 600, 2_000, 1_000, 100, MAX_BACKOFF_MILLIS, 2_000);
	}

	/**
	 * Starts listening. Blocks, so it may be called on any thread except the event loop.
	 * @param fleetListener receives the events of the links
	 * @throws IOException if the VM can't listen at its address
	 */
	public void listen(FleetListener fleetListener) throws IOException {
		this.listener = fleetListener;
		boolean control = this.settings.role() == GatewayRole.CONTROL;
		HostAndPort own = ownAddress();
		PeerIdentity identity = new PeerIdentity(this.settings.vm(), this.settings.dataCentre(), this.settings.region(),
				System.currentTimeMillis(), control ? own.toString() : NO_ADDRESS);
		try {
			this.node.listen(own.toSocketAddress(), identity).get();
		}
		catch (ExecutionException ex) {
			throw new IOException("The peer link can't listen at " + own
					+ ". The port may be in use, or the address may not belong to this VM: "
					+ ex.getCause().getMessage(), ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException("Interrupted while starting to listen for peer links.", ex);
		}
	}

	private HostAndPort ownAddress() {
		return new HostAndPort(this.settings.host(), this.settings.listen().peerPort());
	}

	/**
	 * Replaces the seeds.
	 * @param changed the peer addresses of a few control VMs
	 */
	public void setSeeds(List<HostAndPort> changed) {
		this.seeds = changed.stream().map(HostAndPort::toSocketAddress).collect(Collectors.toSet());
	}

	/**
	 * Connects to the address of a control VM that another VM announced.
	 * @param address the address, as {@code host:port}
	 */
	void connectTo(String address) {
		InetSocketAddress known = this.parsedAddresses.get(address);
		if (known != null) {
			dial(known);
			return;
		}
		try {
			InetSocketAddress socketAddress = HostAndPort.parse(address, "controlAddresses").toSocketAddress();
			this.parsedAddresses.put(address, socketAddress);
			dial(socketAddress);
		}
		catch (InvalidDocumentException ex) {
			EventLog.write(EventKind.REPORT_REFUSED, "address", address, "reason", ex.getMessage());
		}
	}

	private void dial(InetSocketAddress address) {
		if (!address.equals(this.ownAddress)) {
			this.lastDialledNanos.put(address, System.nanoTime());
			this.node.connect(address);
		}
	}

	/**
	 * Dials the seeds and connected control VMs, and drops addresses that are no longer
	 * announced. Called periodically.
	 */
	void refreshConnections() {
		this.seeds.forEach(this::dial);
		this.peers.values().forEach((peer) -> {
			if (isControl(peer)) {
				connectTo(peer.address());
			}
		});
		long now = System.nanoTime();
		this.lastDialledNanos.entrySet().removeIf((entry) -> {
			boolean expired = now - entry.getValue() > ADDRESS_EXPIRY_NANOS;
			if (expired) {
				this.node.disconnect(entry.getKey());
				this.parsedAddresses.values().remove(entry.getKey());
			}
			return expired;
		});
	}

	/**
	 * Returns where this VM is.
	 * @return its location by its id
	 */
	Map<VmId, VmLocation> ownLocation() {
		return Map.of(this.settings.vm(), new VmLocation(this.settings.region(), this.settings.dataCentre()));
	}

	/**
	 * Returns the connected control VMs.
	 * @return their identities
	 */
	public Collection<PeerIdentity> controlPeers() {
		return this.peers.values().stream().filter(FleetLinks::isControl).toList();
	}

	/**
	 * Returns all connected VMs.
	 * @return a copy of their identities
	 */
	Collection<PeerIdentity> allPeers() {
		return new ArrayList<>(this.peers.values());
	}

	/**
	 * Returns the addresses of the connected control VMs.
	 * @return the addresses, including this VM's own if it is a control VM
	 */
	List<String> controlAddresses() {
		Set<String> addresses = controlPeers().stream()
			.map(PeerIdentity::address)
			.collect(Collectors.toCollection(TreeSet::new));
		if (this.settings.role() == GatewayRole.CONTROL) {
			addresses.add(ownAddress().toString());
		}
		return List.copyOf(addresses);
	}

	private static boolean isControl(PeerIdentity peer) {
		return !NO_ADDRESS.equals(peer.address());
	}

	/**
	 * Returns the identity of a connected VM.
	 * @param vm the VM
	 * @return its identity, or empty if there is no link to it
	 */
	Optional<PeerIdentity> peer(VmId vm) {
		return Optional.ofNullable(this.peers.get(vm));
	}

	boolean isControl(VmId vm) {
		return peer(vm).map(FleetLinks::isControl).orElse(false);
	}

	/**
	 * Returns the connected control VMs, nearest first: those in this VM's data centre,
	 * then those in its region, then the others, each group ordered by VM name.
	 * @return their identities
	 */
	List<PeerIdentity> nearestControlPeers() {
		return controlPeers().stream()
			.sorted(Comparator.comparing((PeerIdentity peer) -> !peer.dataCentre().equals(this.settings.dataCentre()))
				.thenComparing((peer) -> !isInOwnRegion(peer))
				.thenComparing((peer) -> peer.vm().value()))
			.toList();
	}

	boolean isInOwnRegion(PeerIdentity peer) {
		return peer.region().equals(this.settings.region());
	}

	Optional<RegionId> regionOf(DataCentreId dataCentre) {
		return this.settings.regionOf(dataCentre);
	}

	/**
	 * Sends a fleet message, or drops it if there is no link to the receiver.
	 * @param to the receiver
	 * @param encoded the encoded message
	 */
	void send(VmId to, byte[] encoded) {
		this.node.send(to, PeerChannel.FLEET, encoded);
	}

	/**
	 * Sends a message of the replicated log. May be called on any thread.
	 * @param to the receiver
	 * @param message the encoded message
	 */
	public void sendLog(VmId to, byte[] message) {
		this.loop.execute(() -> this.node.send(to, PeerChannel.LOG, message));
	}

	/**
	 * Calls a control VM.
	 * @param to the VM
	 * @param payload the encoded call
	 * @param timeoutMillis the longest time to wait for the reply, in milliseconds
	 * @return the encoded reply
	 */
	public CompletableFuture<byte[]> call(VmId to, byte[] payload, int timeoutMillis) {
		return this.node.call(to, PeerChannel.DECLARATION, payload, timeoutMillis);
	}

	/**
	 * Closes all links.
	 * @return a future that completes when all sockets are closed
	 */
	public CompletableFuture<Void> stop() {
		return this.node.stop();
	}

	/**
	 * Encodes a message, so that it can be sent to several receivers.
	 * @param news the message
	 * @return the encoded message
	 */
	static byte[] encode(FleetNews news) {
		return FleetCodec.encode(news);
	}

	/**
	 * Passes the events of the peer node to the fleet listener.
	 */
	private final class Handler implements PeerHandler {

		@Override
		public void onConnected(PeerIdentity peer, long appliedIndex) {
			FleetLinks.this.peers.put(peer.vm(), peer);
			EventLog.write(EventKind.PEER_CONNECTED, "peer", peer.vm(), "control", isControl(peer));
			FleetLinks.this.listener.connected(peer, isControl(peer));
		}

		@Override
		public void onDisconnected(PeerIdentity peer) {
			FleetLinks.this.peers.remove(peer.vm());
			EventLog.write(EventKind.PEER_LOST, "peer", peer.vm(), "control", isControl(peer));
			FleetLinks.this.listener.disconnected(peer);
		}

		@Override
		public void onDatagram(VmId sender, PeerChannel channel, byte[] payload) {
			if (channel == PeerChannel.LOG) {
				FleetLinks.this.listener.onLog(sender, payload);
				return;
			}
			try {
				FleetLinks.this.listener.onNews(sender, FleetCodec.decode(payload));
			}
			catch (MalformedMessageException ex) {
				EventLog.write(EventKind.REPORT_REFUSED, "peer", sender, "reason", ex.getMessage());
			}
		}

		@Override
		public CompletableFuture<byte[]> onCall(VmId sender, PeerChannel channel, byte[] payload) {
			return FleetLinks.this.listener.onCall(payload);
		}

	}

}
