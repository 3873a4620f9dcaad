package org.vanillatrestle.daemon.internal.peer;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import javax.net.ssl.SSLException;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import org.apache.commons.rng.UniformRandomProvider;
import org.jboss.logging.Logger;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.membership.CapacityRow;
import org.vanillatrestle.internal.membership.Gossip;
import org.vanillatrestle.internal.membership.MemberRecord;
import org.vanillatrestle.internal.membership.MemberStatus;
import org.vanillatrestle.internal.membership.Membership;
import org.vanillatrestle.internal.membership.SummaryExchange;
import org.vanillatrestle.internal.membership.SummaryMessage;
import org.vanillatrestle.internal.target.Announcement;
import org.vanillatrestle.internal.target.TargetRegistry;
import org.vanillatrestle.wire.ForwardHandler;
import org.vanillatrestle.wire.MembershipCodec;
import org.vanillatrestle.wire.PeerChannel;
import org.vanillatrestle.wire.PeerException;
import org.vanillatrestle.wire.PeerHandler;
import org.vanillatrestle.wire.PeerIdentity;
import org.vanillatrestle.wire.PeerNode;

/**
 * Connects the VM with its peers: keeps links, tracks membership, relays target
 * announcements and synchronises the contract book.
 * <p>
 * Not thread safe: all methods except the constructor, {@link #start} and {@link #stop}
 * must be called on the event loop, and all handlers are called there. Messages that are
 * meant only for VMs of the same data centre are dropped if they come from another one.
 */
public final class PeerService {

	private static final Logger logger = Logger.getLogger(PeerService.class);

	private static final int TICK_INTERVAL_MILLIS = 250;

	private static final int TICKS_PER_UPDATE = 8;

	private final EventLoop loop;

	private final PeerServiceSettings settings;

	private final PeerNode node;

	private final PeerEvents events;

	private final UniformRandomProvider random;

	private final BookPort book;

	private final BookPuller puller;

	private final TargetExchange targets;

	private final LinkSelector linkSelector;

	private final LocalSummaryBuilder localSummary;

	private final Map<VmId, PeerIdentity> linkedPeers = new HashMap<>();

	private final PeerChannels channels = new PeerChannels();

	private Membership membership;

	private SummaryExchange summaries;

	private Future<?> timer;

	private long ticks;

	/**
	 * Creates a service that is inactive until {@link #start} is called.
	 * @param loop the VM's event loop
	 * @param settings the settings of the peer service
	 * @param forwardHandler handles the requests that other VMs forward
	 * @param book the VM's contract book
	 * @param registry the registry of the data centre's targets
	 * @param capacity supplies the data centre's capacity for its summary
	 * @param events the listener for changes among the peers
	 * @param random the random source for jitter and for random choices
	 * @throws SSLException if a TLS file can't be loaded
	 */
	public PeerService(EventLoop loop, PeerServiceSettings settings, ForwardHandler forwardHandler, BookPort book,
			TargetRegistry registry, Supplier<List<CapacityRow>> capacity, PeerEvents events,
			UniformRandomProvider random) throws SSLException {
		this.loop = loop;
		this.settings = settings;
		this.book = book;
		this.events = events;
		this.random = random;
		this.node = new PeerNode(loop, settings.link(), settings.tls(), new LinkHandler(), forwardHandler,
				book::appliedIndex, random);
		this.puller = new BookPuller(this.node, book, random);
		this.localSummary = new LocalSummaryBuilder(this.node, book, capacity);
		this.targets = new TargetExchange(registry, this::broadcastTargets);
		this.linkSelector = new LinkSelector(this.node::self, this.node::connect, this.node::disconnect,
				settings.seeds());
		registerOwnChannels();
	}

	/**
	 * Starts listening, connecting to other VMs and sending heartbeats.
	 * @return completed with the bound address, or exceptionally if binding fails
	 */
	public CompletableFuture<InetSocketAddress> start() {
		CompletableFuture<InetSocketAddress> started = new CompletableFuture<>();
		this.loop.execute(() -> this.node.listen(this.settings.bindAddress(), this.settings.identity())
			.whenComplete((address, failure) -> {
				if (failure != null) {
					started.completeExceptionally(failure);
					return;
				}
				begin();
				started.complete(address);
			}));
		return started;
	}

	/**
	 * Announces to the VMs of the data centre that this VM is leaving. Links stay open,
	 * so that requests in flight can complete.
	 */
	public void leave() {
		this.membership.leave(System.nanoTime());
		logger.info("Peer: announced to the data centre that this VM is leaving");
	}

	/**
	 * Closes all links.
	 * @return a future that completes when all sockets are closed
	 */
	public CompletableFuture<Void> stop() {
		this.loop.execute(() -> {
			if (this.timer != null) {
				this.timer.cancel(false);
			}
		});
		return this.node.stop();
	}

	/**
	 * Returns the node that holds the links, for forwarded requests and calls.
	 * @return the node
	 */
	public PeerNode node() {
		return this.node;
	}

	/**
	 * Returns this VM's view of the membership of its data centre.
	 * @return the membership
	 */
	public Membership membership() {
		return this.membership;
	}

	/**
	 * Returns the exchange of data centre summaries, which also tracks which regions are
	 * reachable.
	 * @return the summary exchange
	 */
	public SummaryExchange summaries() {
		return this.summaries;
	}

	/**
	 * Returns the VMs of a data centre to which a link is open.
	 * @param dataCentre the data centre
	 * @return the VMs, in no particular order
	 */
	public List<VmId> linkedVms(DataCentreId dataCentre) {
		return this.linkedPeers.values()
			.stream()
			.filter((peer) -> peer.dataCentre().equals(dataCentre))
			.map(PeerIdentity::vm)
			.toList();
	}

	/**
	 * Returns the identity of a linked VM.
	 * @param vm the VM
	 * @return the VM's identity, empty if no link is open
	 */
	public Optional<PeerIdentity> linkedPeer(VmId vm) {
		return Optional.ofNullable(this.linkedPeers.get(vm));
	}

	/**
	 * Keeps a link to a VM, whichever data centres are assigned to this VM. Replicas of
	 * the same group need such links.
	 * @param address the address at which the VM accepts links
	 */
	public void keepLink(InetSocketAddress address) {
		this.linkSelector.keepLink(address);
	}

	/**
	 * Requests links to a data centre, which forwarding requests to it needs.
	 * @param dataCentre the data centre
	 */
	public void requestLinks(DataCentreId dataCentre) {
		this.linkSelector.requestLinks(dataCentre);
	}

	/**
	 * Sends the applied index of this VM's contract book to every linked VM immediately.
	 * Each VM that pulls the change notifies its own peers in turn, so that changes
	 * spread without waiting for the next heartbeat or summary.
	 */
	public void bookChanged() {
		this.puller.sendIndex(this.linkedPeers.keySet());
	}

	/**
	 * Runs an action on the event loop, after the current task.
	 * @param action the action
	 */
	public void runLater(Runnable action) {
		this.loop.execute(action);
	}

	/**
	 * Relays an announcement that a target made to this VM and that its registry
	 * accepted.
	 * @param announcement the announcement
	 */
	public void announced(Announcement announcement) {
		this.targets.announced(announcement, System.nanoTime());
	}

	/**
	 * Sets the receiver of the datagrams on a channel.
	 * @param channel the channel
	 * @param receiver the receiver
	 */
	public void setDatagramReceiver(PeerChannel channel, DatagramReceiver receiver) {
		this.channels.setDatagramReceiver(channel, receiver);
	}

	/**
	 * Sets the receiver that answers the calls on a channel.
	 * @param channel the channel
	 * @param receiver the receiver
	 */
	public void setCallReceiver(PeerChannel channel, CallReceiver receiver) {
		this.channels.setCallReceiver(channel, receiver);
	}

	/**
	 * Returns a transport that sends datagrams on a channel.
	 * @param channel the channel
	 * @return the transport
	 */
	public ReplicaTransport transport(PeerChannel channel) {
		return (receiver, message) -> this.node.send(receiver, channel, message);
	}

	private void registerOwnChannels() {
		setDatagramReceiver(PeerChannel.MEMBERSHIP, this::receiveGossip);
		setDatagramReceiver(PeerChannel.SUMMARY, this::receiveSummary);
		setDatagramReceiver(PeerChannel.TARGETS, this::receiveTargets);
		setDatagramReceiver(PeerChannel.BOOK, this.puller::receiveIndex);
		setCallReceiver(PeerChannel.BOOK, this.puller::answer);
	}

	private void begin() {
		long nowNanos = System.nanoTime();
		PeerIdentity self = this.node.self();
		MemberRecord record = new MemberRecord(self.vm(), self.address(), this.settings.roles(), self.incarnation(), 0,
				MemberStatus.ALIVE, this.book.appliedIndex());
		PeerOutputs outputs = new PeerOutputs(this.node, this.events);
		this.membership = new Membership(record, this.settings.membership(), this.random, outputs, nowNanos);
		this.summaries = new SummaryExchange(self.dataCentre(), this.settings.summary(), this.random, this.membership,
				outputs, nowNanos);
		this.settings.seeds()
			.forEach((seed) -> this.summaries.addDataCentre(seed.dataCentre(), seed.region(), nowNanos));
		this.timer = this.loop.scheduleAtFixedRate(this::tick, 0, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void tick() {
		long nowNanos = System.nanoTime();
		this.membership.tick(nowNanos, this.book.appliedIndex());
		this.summaries.tick(nowNanos, () -> this.localSummary.build(this.membership));
		this.puller.pull();
		if (this.ticks++ % TICKS_PER_UPDATE != 0) {
			return;
		}
		this.targets.flush(nowNanos);
		this.targets.removeExpired(nowNanos);
		this.linkSelector.update(this.membership.knownMembers(), this.summaries.assignedDataCentres(),
				this.summaries.summaries());
	}

	private void broadcastTargets(byte[] payload) {
		this.membership.presentMembers().forEach((member) -> this.node.send(member.vm(), PeerChannel.TARGETS, payload));
	}

	private void receiveGossip(PeerIdentity sender, byte[] payload) throws PeerException {
		if (!isInSameDataCentre(sender)) {
			return;
		}
		Gossip gossip = MembershipCodec.decodeGossip(payload);
		this.membership.receive(new Gossip(sender.vm(), gossip.replyRequested(), gossip.members()), System.nanoTime());
		MemberRecord member = this.membership.member(sender.vm());
		if (member != null) {
			this.puller.updateIndex(sender.vm(), member.appliedIndex());
		}
	}

	private void receiveSummary(PeerIdentity sender, byte[] payload) throws PeerException {
		SummaryMessage message = MembershipCodec.decodeSummary(payload);
		this.summaries.receive(new SummaryMessage(sender.dataCentre(), message.entries()), System.nanoTime());
		message.entries()
			.stream()
			.filter((entry) -> entry.summary().dataCentre().equals(sender.dataCentre()))
			.forEach((entry) -> this.puller.updateIndex(sender.vm(), entry.summary().appliedIndex()));
	}

	private void receiveTargets(PeerIdentity sender, byte[] payload) throws PeerException {
		if (isInSameDataCentre(sender)) {
			this.targets.receive(payload, System.nanoTime());
		}
	}

	private boolean isInSameDataCentre(PeerIdentity peer) {
		return peer.dataCentre().equals(this.node.self().dataCentre());
	}

	/**
	 * Handles the events of the links.
	 */
	private final class LinkHandler implements PeerHandler {

		@Override
		public void onConnected(PeerIdentity peer, long appliedIndex) {
			PeerService service = PeerService.this;
			long nowNanos = System.nanoTime();
			service.linkedPeers.put(peer.vm(), peer);
			service.puller.updateIndex(peer.vm(), appliedIndex);
			if (!isInSameDataCentre(peer)) {
				service.summaries.linkUp(peer.vm(), peer.dataCentre(), peer.region(), nowNanos);
				return;
			}
			service.membership.linkUp(peer.vm(), nowNanos);
			service.node.send(peer.vm(), PeerChannel.TARGETS, service.targets.encodeAll(nowNanos));
		}

		@Override
		public void onDisconnected(PeerIdentity peer) {
			PeerService.this.linkedPeers.remove(peer.vm());
			PeerService.this.puller.removeVm(peer.vm());
			PeerService.this.summaries.linkLost(peer.vm());
			PeerService.this.membership.linkLost(peer.vm(), System.nanoTime());
		}

		@Override
		public void onDatagram(VmId sender, PeerChannel channel, byte[] payload) {
			PeerService.this.channels.dispatchDatagram(PeerService.this.linkedPeers.get(sender), channel, payload);
		}

		@Override
		public CompletableFuture<byte[]> onCall(VmId sender, PeerChannel channel, byte[] payload) {
			return PeerService.this.channels.dispatchCall(PeerService.this.linkedPeers.get(sender), channel, payload);
		}

	}

}
