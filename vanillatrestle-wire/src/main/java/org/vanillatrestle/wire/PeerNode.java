package org.vanillatrestle.wire;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import javax.net.ssl.SSLException;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.apache.commons.rng.UniformRandomProvider;
import org.jboss.logging.Logger;
import org.vanillatrestle.Verdict;
import org.vanillatrestle.VmId;
import org.vanillatrestle.wire.PeerException.Reason;
import org.vanillatrestle.wire.internal.link.ClosedStream;
import org.vanillatrestle.wire.internal.link.Dialer;
import org.vanillatrestle.wire.internal.link.LinkInitializer;
import org.vanillatrestle.wire.internal.link.LinkOwner;
import org.vanillatrestle.wire.internal.link.LinkTable;
import org.vanillatrestle.wire.internal.link.LinkTable.Admission;
import org.vanillatrestle.wire.internal.link.PeerLink;
import org.vanillatrestle.wire.internal.link.TlsContexts;

/**
 * A VM's links to its peers: it listens, connects, and keeps one link per peer.
 * <p>
 * Not thread safe: all methods but the constructor and {@link #stop} must be called on
 * the event loop given to it, and all handlers are called there. Nothing here blocks;
 * what does not fit a link's backlog is refused at once.
 */
public final class PeerNode {

	private static final Logger logger = Logger.getLogger(PeerNode.class);

	private final EventLoop loop;

	private final PeerSettings settings;

	private final PeerHandler handler;

	private final ForwardHandler forwardHandler;

	private final LongSupplier appliedIndex;

	private final UniformRandomProvider random;

	private final TlsContexts tls;

	private final Map<InetSocketAddress, Dialer> dialers = new HashMap<>();

	private final ChannelGroup channels;

	private final Owner owner = new Owner();

	private Supplier<ChannelHandler> interceptor = () -> null;

	private PeerIdentity self;

	private LinkTable links;

	private boolean stopped;

	/**
	 * Creates a node that neither listens nor connects yet.
	 * @param loop the event loop of the VM
	 * @param settings limits and times
	 * @param tls the files for mutual TLS, {@code null} for none
	 * @param handler gets datagrams and calls
	 * @param forwardHandler gets forwarded requests
	 * @param appliedIndex tells the applied index of the contract book for the hello
	 * @param random the source of jitter
	 * @throws SSLException if a TLS file can't be used
	 */
	public PeerNode(EventLoop loop, PeerSettings settings, TlsSettings tls, PeerHandler handler,
			ForwardHandler forwardHandler, LongSupplier appliedIndex, UniformRandomProvider random)
			throws SSLException {
		this.loop = loop;
		this.settings = settings;
		this.handler = handler;
		this.forwardHandler = forwardHandler;
		this.appliedIndex = appliedIndex;
		this.random = random;
		this.tls = (tls != null) ? TlsContexts.read(tls) : null;
		this.channels = new DefaultChannelGroup(loop, true);
	}

	/**
	 * Begins to listen.
	 * @param bindAddress the address to bind, port 0 for any
	 * @param identity who this VM is; an empty address is replaced by the one bound
	 * @return the bound address, or the failure to bind
	 */
	public CompletableFuture<InetSocketAddress> listen(InetSocketAddress bindAddress, PeerIdentity identity) {
		this.self = identity;
		this.links = new LinkTable(identity.vm());
		CompletableFuture<InetSocketAddress> bound = new CompletableFuture<>();
		ChannelFuture bind = new ServerBootstrap().group(this.loop, this.loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
			.childHandler(initializer(null))
			.bind(bindAddress);
		bind.addListener((result) -> bound(bind, bound));
		return bound;
	}

	/**
	 * Keeps a link to the VM at an address until {@link #disconnect}. Repeats have no
	 * effect.
	 * @param address where the VM listens
	 */
	public void connect(InetSocketAddress address) {
		if (this.stopped || this.dialers.containsKey(address)) {
			return;
		}
		Dialer dialer = new Dialer(address, this.loop, this.settings, this.random, this.owner);
		this.dialers.put(address, dialer);
		dialer.dial();
	}

	/**
	 * Ends the attempts to connect to an address. A link that came of them is closed once
	 * its streams have ended.
	 * @param address where the VM listens
	 */
	public void disconnect(InetSocketAddress address) {
		Dialer dialer = this.dialers.remove(address);
		if (dialer == null) {
			return;
		}
		dialer.stop();
		PeerLink link = this.links.get(dialer.peer());
		if (link != null && link.dialer() == dialer) {
			link.drain();
		}
	}

	/**
	 * Returns who this VM is.
	 * @return the identity as said to peers
	 */
	public PeerIdentity self() {
		return this.self;
	}

	/**
	 * Returns the VMs to which a link is up.
	 * @return the peers
	 */
	public List<VmId> peers() {
		return this.links.peers();
	}

	/**
	 * Tells whether a link to a VM is up.
	 * @param vm the VM
	 * @return whether a link is up
	 */
	public boolean isConnected(VmId vm) {
		return this.links.get(vm) != null;
	}

	/**
	 * Sends a datagram; it is dropped if there is no link or the link is backlogged.
	 * @param vm the receiver
	 * @param channel the part of the receiver's daemon that it is for
	 * @param payload the bytes, at most {@link PeerSettings#maxPayloadBytes}
	 * @return whether it was handed to a link
	 * @throws IllegalArgumentException if the payload is too long
	 */
	public boolean send(VmId vm, PeerChannel channel, byte[] payload) {
		checkSize(payload);
		PeerLink link = this.links.get(vm);
		return link != null && link.send(channel, payload);
	}

	/**
	 * Calls a VM.
	 * @param vm the receiver
	 * @param channel the part of the receiver's daemon that it is for
	 * @param payload the bytes, at most {@link PeerSettings#maxPayloadBytes}
	 * @param timeoutMillis the longest wait
	 * @return the answer, or a {@link PeerException}; completed on the event loop
	 * @throws IllegalArgumentException if the payload is too long
	 */
	public CompletableFuture<byte[]> call(VmId vm, PeerChannel channel, byte[] payload, int timeoutMillis) {
		checkSize(payload);
		PeerLink link = this.links.get(vm);
		if (link == null) {
			return CompletableFuture
				.failedFuture(new PeerException(Reason.NOT_CONNECTED, "There is no link to the VM '" + vm + "'."));
		}
		return link.call(channel, payload, timeoutMillis);
	}

	/**
	 * Forwards a request. Without a link it fails with {@link Verdict#NOT_RUN}.
	 * @param vm the receiver
	 * @param request the request
	 * @param listener gets the answer
	 * @return the sender's end
	 */
	public ForwardStream open(VmId vm, ForwardedRequest request, ForwardListener listener) {
		PeerLink link = this.links.get(vm);
		if (link == null) {
			ForwardFailure failure = new ForwardFailure(Verdict.NOT_RUN, "not-connected",
					"There is no link to the VM '" + vm + "'.");
			this.loop.execute(() -> listener.onFailed(failure));
			return new ClosedStream();
		}
		return link.open(request, listener);
	}

	/**
	 * Closes all links and ends all attempts to connect.
	 * @return completed when all sockets are closed
	 */
	public CompletableFuture<Void> stop() {
		CompletableFuture<Void> done = new CompletableFuture<>();
		this.loop.execute(() -> {
			this.stopped = true;
			this.dialers.values().forEach(Dialer::stop);
			this.channels.close().addListener((closed) -> done.complete(null));
		});
		return done;
	}

	/**
	 * Puts a handler between the codec and each later link, to inject faults in tests.
	 * @param newInterceptor creates the handler
	 */
	void intercept(Supplier<ChannelHandler> newInterceptor) {
		this.interceptor = newInterceptor;
	}

	private void bound(ChannelFuture bind, CompletableFuture<InetSocketAddress> result) {
		if (!bind.isSuccess()) {
			result.completeExceptionally(bind.cause());
			return;
		}
		this.channels.add(bind.channel());
		InetSocketAddress address = (InetSocketAddress) bind.channel().localAddress();
		if (this.self.address().isEmpty()) {
			this.self = new PeerIdentity(this.self.vm(), this.self.dataCentre(), this.self.region(),
					this.self.incarnation(), address.getHostString() + ":" + address.getPort());
		}
		result.complete(address);
	}

	private void checkSize(byte[] payload) {
		if (payload.length > this.settings.maxPayloadBytes()) {
			throw new IllegalArgumentException("A payload of " + payload.length + " bytes exceeds the limit of "
					+ this.settings.maxPayloadBytes() + " bytes.");
		}
	}

	private WriteBufferWaterMark waterMark() {
		return new WriteBufferWaterMark(this.settings.backlogBytes() / 2, this.settings.backlogBytes());
	}

	private LinkInitializer initializer(Dialer dialer) {
		return new LinkInitializer(this.owner, this.tls, this.channels, dialer, () -> this.interceptor.get());
	}

	/**
	 * What links and dialers see of this node.
	 */
	private final class Owner implements LinkOwner, Dialer.Connector {

		@Override
		public PeerIdentity self() {
			return PeerNode.this.self;
		}

		@Override
		public PeerSettings settings() {
			return PeerNode.this.settings;
		}

		@Override
		public PeerHandler handler() {
			return PeerNode.this.handler;
		}

		@Override
		public ForwardHandler forwardHandler() {
			return PeerNode.this.forwardHandler;
		}

		@Override
		public long appliedIndex() {
			return PeerNode.this.appliedIndex.getAsLong();
		}

		@Override
		public boolean onHello(PeerLink link, long peerAppliedIndex) {
			Dialer dialer = link.dialer();
			if (dialer != null) {
				dialer.answered(link.peer().vm());
			}
			if (dialer != null && link.peer().vm().equals(self().vm())) {
				dialer.stop();
			}
			Admission admission = PeerNode.this.links.admit(link);
			if (admission == Admission.NEW_PEER) {
				logger.infof("Peer: linked to %s", link.peer().vm());
				handler().onConnected(link.peer(), peerAppliedIndex);
			}
			return admission != Admission.REFUSED;
		}

		@Override
		public void onClosed(PeerLink link) {
			if (!PeerNode.this.links.remove(link)) {
				return;
			}
			logger.infof("Peer: lost the link to %s", link.peer().vm());
			handler().onDisconnected(link.peer());
			PeerNode.this.dialers.values().forEach((dialer) -> dialer.linkLost(link.peer().vm()));
		}

		@Override
		public ChannelFuture connect(InetSocketAddress address, Dialer dialer) {
			return new Bootstrap().group(PeerNode.this.loop)
				.channel(NioSocketChannel.class)
				.option(ChannelOption.TCP_NODELAY, true)
				.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings().connectTimeoutMillis())
				.option(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
				.handler(initializer(dialer))
				.connect(address);
		}

		@Override
		public boolean isLinked(VmId vm) {
			return vm != null && PeerNode.this.links.get(vm) != null;
		}

	}

}
