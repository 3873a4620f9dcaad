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
 * The VM among its peers: keeps links, knows who is there, passes announcements on and
 * keeps the contract book up to date.
 * <p>
 * Not thread safe: all methods but the constructor, {@link #start} and {@link #stop} are
 * called on the event loop, and all handlers are called there. Messages of a kind that
 * only VMs of one data centre exchange are dropped if they come from another.
 */
public final class PeerService {

	private static final Logger logger = Logger.getLogger(PeerService.class);

	private static final int TICK_MILLIS = 250;

	private static final int TICKS_PER_FLUSH = 8;

	private final EventLoop loop;

	private final PeerServiceSettings settings;

	private final PeerNode node;

	private final PeerEvents events;

	private final UniformRandomProvider random;

	private final BookPort book;

	private final BookPuller puller;

	private final TargetExchange targets;

	private final Neighbours neighbours;

	private final LocalSummary localSummary;

	private final Map<VmId, PeerIdentity> linked = new HashMap<>();

	private final PeerChannels channels = new PeerChannels();

	private Membership membership;

	private SummaryExchange summaries;

	private Future<?> timer;

	private long ticks;

	/**
	 * Creates a service that does nothing until {@link #start}.
	 * @param loop the VM's event loop
	 * @param settings what the VM's settings say
	 * @param forwardHandler takes requests that other VMs forward
	 * @param book the VM's contract book
	 * @param registry the targets of the data centre
	 * @param capacity tells what the data centre can take, for the summary
	 * @param events gets changes
	 * @param random the source of jitter and random order
	 * @throws SSLException if a TLS file can't be used
	 */
	public PeerService(EventLoop loop, PeerServiceSettings settings, ForwardHandler forwardHandler, BookPort book,
			TargetRegistry registry, Supplier<List<CapacityRow>> capacity, PeerEvents events,
			UniformRandomProvider random) throws SSLException {
		this.loop = loop;
		this.settings = settings;
		this.book = book;
		this.events = events;
		this.random = random;
		this.node = new PeerNode(loop, settings.link(), settings.tls(), new Links(), forwardHandler, book::appliedIndex,
				random);
		this.puller = new BookPuller(this.node, book, random);
		this.localSummary = new LocalSummary(this.node, book, capacity);
		this.targets = new TargetExchange(registry, this::broadcastTargets);
		this.neighbours = new Neighbours(this.node::self, this.node::connect, this.node::disconnect, settings.seeds());
		registerOwnChannels();
	}

	/**
	 * Begins to listen, to connect and to send heartbeats.
	 * @return the bound address, or the failure to bind
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
	 * Tells the VMs of the data centre that this one leaves. Links stay up, so that
	 * requests in flight can end.
	 */
	public void leave() {
		this.membership.leave(System.nanoTime());
		logger.info("Peer: told the data centre that this VM leaves");
	}

	/**
	 * Closes all links.
	 * @return completed when all sockets are closed
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
	 * Returns the links, for forwarded requests and calls.
	 * @return the node
	 */
	public PeerNode node() {
		return this.node;
	}

	/**
	 * Returns the VMs of this data centre.
	 * @return the view
	 */
	public Membership membership() {
		return this.membership;
	}

	/**
	 * Returns what other data centres say of themselves, and which regions are reachable.
	 * @return the exchange
	 */
	public SummaryExchange summaries() {
		return this.summaries;
	}

	/**
	 * Returns the VMs of another data centre to which a link is up.
	 * @param dataCentre the data centre
	 * @return the VMs, in no order
	 */
	public List<VmId> linkedIn(DataCentreId dataCentre) {
		return this.linked.values()
			.stream()
			.filter((peer) -> peer.dataCentre().equals(dataCentre))
			.map(PeerIdentity::vm)
			.toList();
	}

	/**
	 * Returns who is at the other end of a link.
	 * @param vm the VM
	 * @return the peer, empty if there is no link
	 */
	public Optional<PeerIdentity> linked(VmId vm) {
		return Optional.ofNullable(this.linked.get(vm));
	}

	/**
	 * Keeps a link to a VM, whatever duties this VM has, as the replicas of a group need.
	 * @param address where the VM accepts links
	 */
	public void keepLink(InetSocketAddress address) {
		this.neighbours.keep(address);
	}

	/**
	 * Asks for links to a data centre, as needed for forwarded requests.
	 * @param dataCentre the data centre
	 */
	public void wantLinks(DataCentreId dataCentre) {
		this.neighbours.want(dataCentre);
	}

	/**
	 * Tells every linked VM at once how far this VM's contract book is in force. Each VM
	 * that pulls the change tells its own peers in turn, so news does not wait for the
	 * next heartbeat or summary.
	 */
	public void bookChanged() {
		this.puller.tell(this.linked.keySet());
	}

	/**
	 * Runs something on the event loop, after what runs now.
	 * @param action what to run
	 */
	public void later(Runnable action) {
		this.loop.execute(action);
	}

	/**
	 * Passes on an announcement that a target made to this VM and its registry accepted.
	 * @param announcement the announcement
	 */
	public void announced(Announcement announcement) {
		this.targets.announced(announcement, System.nanoTime());
	}

	/**
	 * Sets who takes the datagrams of a channel.
	 * @param channel the channel
	 * @param receiver the receiver
	 */
	public void receive(PeerChannel channel, DatagramReceiver receiver) {
		this.channels.receive(channel, receiver);
	}

	/**
	 * Sets who answers the calls of a channel.
	 * @param channel the channel
	 * @param receiver the receiver
	 */
	public void answer(PeerChannel channel, CallReceiver receiver) {
		this.channels.answer(channel, receiver);
	}

	/**
	 * Returns the way to send the datagrams of a channel.
	 * @param channel the channel
	 * @return the transport
	 */
	public ReplicaTransport transport(PeerChannel channel) {
		return (receiver, message) -> this.node.send(receiver, channel, message);
	}

	private void registerOwnChannels() {
		receive(PeerChannel.MEMBERSHIP, this::receiveGossip);
		receive(PeerChannel.SUMMARY, this::receiveSummary);
		receive(PeerChannel.TARGETS, this::receiveTargets);
		receive(PeerChannel.BOOK, this.puller::receiveIndex);
		answer(PeerChannel.BOOK, this.puller::answer);
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
		this.timer = this.loop.scheduleAtFixedRate(this::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void tick() {
		long nowNanos = System.nanoTime();
		this.membership.tick(nowNanos, this.book.appliedIndex());
		this.summaries.tick(nowNanos, () -> this.localSummary.build(this.membership));
		this.puller.pull();
		if (this.ticks++ % TICKS_PER_FLUSH != 0) {
			return;
		}
		this.targets.flush(nowNanos);
		this.targets.forget(nowNanos);
		this.neighbours.update(this.membership.knownMembers(), this.summaries.assignedDataCentres(),
				this.summaries.summaries());
	}

	private void broadcastTargets(byte[] payload) {
		this.membership.presentMembers().forEach((member) -> this.node.send(member.vm(), PeerChannel.TARGETS, payload));
	}

	private void receiveGossip(PeerIdentity sender, byte[] payload) throws PeerException {
		if (!isNeighbour(sender)) {
			return;
		}
		Gossip gossip = MembershipCodec.decodeGossip(payload);
		this.membership.receive(new Gossip(sender.vm(), gossip.replyRequested(), gossip.members()), System.nanoTime());
		MemberRecord member = this.membership.member(sender.vm());
		if (member != null) {
			this.puller.heard(sender.vm(), member.appliedIndex());
		}
	}

	private void receiveSummary(PeerIdentity sender, byte[] payload) throws PeerException {
		SummaryMessage message = MembershipCodec.decodeSummary(payload);
		this.summaries.receive(new SummaryMessage(sender.dataCentre(), message.entries()), System.nanoTime());
		message.entries()
			.stream()
			.filter((entry) -> entry.summary().dataCentre().equals(sender.dataCentre()))
			.forEach((entry) -> this.puller.heard(sender.vm(), entry.summary().appliedIndex()));
	}

	private void receiveTargets(PeerIdentity sender, byte[] payload) throws PeerException {
		if (isNeighbour(sender)) {
			this.targets.receive(payload, System.nanoTime());
		}
	}

	private boolean isNeighbour(PeerIdentity peer) {
		return peer.dataCentre().equals(this.node.self().dataCentre());
	}

	/**
	 * Takes what happens on the links.
	 */
	private final class Links implements PeerHandler {

		@Override
		public void onConnected(PeerIdentity peer, long appliedIndex) {
			PeerService service = PeerService.this;
			long nowNanos = System.nanoTime();
			service.linked.put(peer.vm(), peer);
			service.puller.heard(peer.vm(), appliedIndex);
			if (!isNeighbour(peer)) {
				service.summaries.linkUp(peer.vm(), peer.dataCentre(), peer.region(), nowNanos);
				return;
			}
			service.membership.linkUp(peer.vm(), nowNanos);
			service.node.send(peer.vm(), PeerChannel.TARGETS, service.targets.all(nowNanos));
		}

		@Override
		public void onDisconnected(PeerIdentity peer) {
			PeerService.this.linked.remove(peer.vm());
			PeerService.this.puller.lost(peer.vm());
			PeerService.this.summaries.linkLost(peer.vm());
			PeerService.this.membership.linkLost(peer.vm(), System.nanoTime());
		}

		@Override
		public void onDatagram(VmId sender, PeerChannel channel, byte[] payload) {
			PeerService.this.channels.datagram(PeerService.this.linked.get(sender), channel, payload);
		}

		@Override
		public CompletableFuture<byte[]> onCall(VmId sender, PeerChannel channel, byte[] payload) {
			return PeerService.this.channels.call(PeerService.this.linked.get(sender), channel, payload);
		}

	}

}
