package org.vanillatrestle.wire.internal.link;

import java.util.function.Supplier;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.group.ChannelGroup;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.ssl.SslContext;

/**
 * Puts the handlers of a link into a new connection.
 * <p>
 * Immutable; used on the event loop only.
 */
public final class LinkInitializer extends ChannelInitializer<Channel> {

	private static final int FLUSHES_TO_JOIN = 256;

	private final LinkOwner owner;

	private final TlsContexts tls;

	private final ChannelGroup channels;

	private final Dialer dialer;

	private final Supplier<ChannelHandler> interceptor;

	/**
	 * Creates an initializer.
	 * @param owner the VM
	 * @param tls the TLS contexts, {@code null} for none
	 * @param channels gets each connection
	 * @param dialer who sets up the connection, {@code null} if it is accepted
	 * @param interceptor gives a handler to put before the link, or {@code null}
	 */
	public LinkInitializer(LinkOwner owner, TlsContexts tls, ChannelGroup channels, Dialer dialer,
			Supplier<ChannelHandler> interceptor) {
		this.owner = owner;
		this.tls = tls;
		this.channels = channels;
		this.dialer = dialer;
		this.interceptor = interceptor;
	}

	@Override
	protected void initChannel(Channel channel) {
		this.channels.add(channel);
		ChannelPipeline pipeline = channel.pipeline();
		if (this.tls != null) {
			SslContext context = (this.dialer != null) ? this.tls.client() : this.tls.server();
			pipeline.addLast(context.newHandler(channel.alloc()));
		}
		pipeline.addLast(new FlushConsolidationHandler(FLUSHES_TO_JOIN, true));
		pipeline.addLast(new EnvelopeCodec(this.owner.settings().maxMessageBytes()));
		ChannelHandler extra = this.interceptor.get();
		if (extra != null) {
			pipeline.addLast(extra);
		}
		pipeline.addLast(new PeerLink(this.owner, this.dialer));
	}

}
