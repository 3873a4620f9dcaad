package org.vanillatrestle.wire.internal.link;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.UnsafeByteOperations;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.ssl.SslHandshakeCompletionEvent;
import io.netty.util.concurrent.Future;
import org.jboss.logging.Logger;
import org.vanillatrestle.wire.ForwardListener;
import org.vanillatrestle.wire.ForwardStream;
import org.vanillatrestle.wire.ForwardedRequest;
import org.vanillatrestle.wire.PeerChannel;
import org.vanillatrestle.wire.PeerIdentity;
import org.vanillatrestle.wire.generated.peer.Call;
import org.vanillatrestle.wire.generated.peer.Datagram;
import org.vanillatrestle.wire.generated.peer.Envelope;
import org.vanillatrestle.wire.generated.peer.Hello;
import org.vanillatrestle.wire.generated.peer.Ping;
import org.vanillatrestle.wire.generated.peer.Pong;

/**
 * One link to another VM, from its hello to its end.
 * <p>
 * Not thread safe: used on its event loop only. Invariants: nothing but a hello is
 * accepted first; a peer that breaks a rule loses the link, with the rule in the log;
 * when the link ends, each of its streams and calls ends.
 */
public final class PeerLink extends SimpleChannelInboundHandler<Envelope> implements LinkWriter {

	/**
	 * The version of the messages; a link needs the same on both sides.
	 */
	public static final int PROTOCOL_VERSION = 1;

	private static final Logger logger = Logger.getLogger(PeerLink.class);

	private final LinkOwner owner;

	private final Dialer dialer;

	private final Deque<Runnable> whenWritable = new ArrayDeque<>();

	private ChannelHandlerContext context;

	private PeerIdentity peer;

	private StreamTable streams;

	private CallTable calls;

	private Future<?> timer;

	private long lastReceivedNanos;

	private boolean draining;

	private boolean broken;

	/**
	 * Creates a link.
	 * @param owner this VM
	 * @param dialer who set up the connection, {@code null} if it was accepted
	 */
	public PeerLink(LinkOwner owner, Dialer dialer) {
		super(Envelope.class);
		this.owner = owner;
		this.dialer = dialer;
	}

	/**
	 * Returns the VM at the other end.
	 * @return the peer, {@code null} before its hello
	 */
	public PeerIdentity peer() {
		return this.peer;
	}

	/**
	 * Tells whether this VM set up the connection.
	 * @return whether this end is the initiator
	 */
	public boolean isInitiator() {
		return this.dialer != null;
	}

	/**
	 * Returns who set up the connection.
	 * @return the dialer, {@code null} if the connection was accepted
	 */
	public Dialer dialer() {
		return this.dialer;
	}

	/**
	 * Sends a datagram unless the link is backlogged.
	 * @param channel the part of the peer's daemon that it is for
	 * @param payload the bytes
	 * @return whether it was handed to the link
	 */
	public boolean send(PeerChannel channel, byte[] payload) {
		if (!isWritable()) {
			return false;
		}
		Datagram datagram = Datagram.newBuilder()
			.setChannel(channel.code())
			.setPayload(UnsafeByteOperations.unsafeWrap(payload))
			.build();
		write(Envelope.newBuilder().setDatagram(datagram).build());
		return true;
	}

	/**
	 * Calls the peer.
	 * @param channel the part of the peer's daemon that it is for
	 * @param payload the bytes
	 * @param timeoutMillis the longest wait
	 * @return the answer
	 */
	public CompletableFuture<byte[]> call(PeerChannel channel, byte[] payload, int timeoutMillis) {
		return this.calls.call(channel, payload, timeoutMillis);
	}

	/**
	 * Forwards a request to the peer.
	 * @param request the request
	 * @param listener who gets the answer
	 * @return the sender's end
	 */
	public ForwardStream open(ForwardedRequest request, ForwardListener listener) {
		return this.streams.open(request, listener);
	}

	/**
	 * Closes the link once its streams have ended, because another link took its place.
	 */
	public void drain() {
		this.draining = true;
		closeIfDrained();
	}

	/**
	 * Closes the link.
	 */
	public void close() {
		this.context.close();
	}

	@Override
	public ChannelFuture write(Envelope envelope) {
		return this.context.writeAndFlush(envelope);
	}

	@Override
	public boolean isWritable() {
		return this.context.channel().isWritable();
	}

	@Override
	public void whenWritable(Runnable action) {
		this.whenWritable.add(action);
	}

	@Override
	public void violated(String message) {
		if (this.broken) {
			return;
		}
		this.broken = true;
		logger.warnf("Peer: closed the link to %s. %s", describe(), message);
		this.context.close();
	}

	@Override
	public EventLoop loop() {
		return this.context.channel().eventLoop();
	}

	@Override
	public void handlerAdded(ChannelHandlerContext newContext) {
		this.context = newContext;
	}

	@Override
	public void channelActive(ChannelHandlerContext newContext) {
		this.lastReceivedNanos = System.nanoTime();
		this.timer = loop().schedule(() -> violated("It sent no hello in time."),
				this.owner.settings().connectTimeoutMillis(), TimeUnit.MILLISECONDS);
		if (newContext.pipeline().get(SslHandler.class) == null) {
			sendHello();
		}
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext eventContext, Object event) {
		if (event instanceof SslHandshakeCompletionEvent handshake && handshake.isSuccess()) {
			sendHello();
		}
		eventContext.fireUserEventTriggered(event);
	}

	@Override
	protected void channelRead0(ChannelHandlerContext readContext, Envelope envelope) {
		this.lastReceivedNanos = System.nanoTime();
		if (this.broken || !readContext.channel().isActive()) {
			return;
		}
		if (this.peer != null) {
			dispatch(envelope);
			closeIfDrained();
			return;
		}
		if (!envelope.hasHello()) {
			violated("Its first message was no hello.");
			return;
		}
		hello(envelope.getHello());
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext changedContext) {
		while (isWritable() && !this.whenWritable.isEmpty()) {
			this.whenWritable.remove().run();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext inactiveContext) {
		if (this.timer != null) {
			this.timer.cancel(false);
		}
		this.whenWritable.clear();
		this.owner.onClosed(this);
		if (this.streams != null) {
			this.streams.linkLost();
			this.calls.linkLost();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext exceptionContext, Throwable cause) {
		Throwable root = (cause.getCause() != null) ? cause.getCause() : cause;
		violated(root.getClass().getSimpleName() + ": " + root.getMessage());
	}

	private void sendHello() {
		Hello hello = Messages.hello(this.owner.self(), PROTOCOL_VERSION, this.owner.appliedIndex(),
				this.owner.settings().streamWindowBytes());
		write(Envelope.newBuilder().setHello(hello).build());
	}

	private void hello(Hello hello) {
		if (hello.getProtocolVersion() != PROTOCOL_VERSION) {
			violated("It speaks version " + hello.getProtocolVersion() + " of the protocol, this VM speaks version "
					+ PROTOCOL_VERSION + ".");
			return;
		}
		if (hello.getStreamWindowBytes() <= 0) {
			violated("Its hello gives no stream window.");
			return;
		}
		PeerIdentity identity = Messages.identity(hello);
		SslHandler tls = this.context.pipeline().get(SslHandler.class);
		if (tls != null && !CertificateNames.contain(tls.engine().getSession(), identity.vm())) {
			violated("Its certificate does not name the VM '" + identity.vm() + "'.");
			return;
		}
		this.peer = identity;
		this.streams = new StreamTable(this, this.owner, identity, hello.getStreamWindowBytes());
		this.calls = new CallTable(this, this.owner.settings().maxCalls());
		this.timer.cancel(false);
		if (!this.owner.onHello(this, hello.getAppliedIndex())) {
			close();
			return;
		}
		int intervalMillis = this.owner.settings().pingIntervalMillis();
		this.timer = loop().scheduleWithFixedDelay(this::checkSilence, intervalMillis, intervalMillis,
				TimeUnit.MILLISECONDS);
	}

	private void dispatch(Envelope envelope) {
		switch (envelope.getMessageCase()) {
			case DATAGRAM -> datagram(envelope.getDatagram());
			case CALL -> call(envelope.getCall());
			case REPLY -> this.calls.reply(envelope.getReply());
			case FORWARD_REQUEST -> this.streams.request(envelope.getForwardRequest());
			case BODY_FRAME -> this.streams.body(envelope.getBodyFrame());
			case CANCEL -> this.streams.cancel(envelope.getCancel());
			case RESPONSE_CREDIT -> this.streams.responseCredit(envelope.getResponseCredit());
			case PING -> write(Envelope.newBuilder().setPong(Pong.getDefaultInstance()).build());
			case HELLO -> violated("It sent a second hello.");
			case PONG, MESSAGE_NOT_SET -> {
			}
			default -> dispatchToOutbound(envelope);
		}
	}

	private void dispatchToOutbound(Envelope envelope) {
		OutboundStream stream = this.streams.outbound(OutboundMessages.key(envelope));
		if (stream != null) {
			OutboundMessages.deliver(envelope, stream);
		}
	}

	private void datagram(Datagram datagram) {
		PeerChannel channel = PeerChannel.of(datagram.getChannel());
		if (channel != null) {
			this.owner.handler().onDatagram(this.peer.vm(), channel, datagram.getPayload().toByteArray());
		}
	}

	private void call(Call call) {
		PeerChannel channel = PeerChannel.of(call.getChannel());
		if (channel == null) {
			this.calls.answer(call.getCallId(),
					() -> CompletableFuture.failedFuture(new IllegalArgumentException("The channel is not known.")));
			return;
		}
		this.calls.answer(call.getCallId(),
				() -> this.owner.handler().onCall(this.peer.vm(), channel, call.getPayload().toByteArray()));
	}

	private void checkSilence() {
		long silentMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.lastReceivedNanos);
		if (silentMillis >= this.owner.settings().linkTimeoutMillis()) {
			violated("It was silent for " + silentMillis + " ms.");
			return;
		}
		if (silentMillis >= this.owner.settings().pingIntervalMillis() / 2) {
			write(Envelope.newBuilder().setPing(Ping.getDefaultInstance()).build());
		}
		closeIfDrained();
	}

	private void closeIfDrained() {
		if (this.draining && this.streams.isEmpty()) {
			close();
		}
	}

	private String describe() {
		return (this.peer != null) ? this.peer.vm().value() : String.valueOf(this.context.channel().remoteAddress());
	}

}
