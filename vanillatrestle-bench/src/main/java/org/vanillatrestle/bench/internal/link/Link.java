package org.vanillatrestle.bench.internal.link;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * Passes TCP connections on to an address, with a delay each way, and can be cut.
 * <p>
 * While it is cut it is silent: connections stay open and new ones are taken, but no byte
 * passes and no end is told, as when packets are lost. When it is restored, connections
 * from before are reset. Thread safe; its state is confined to one event loop.
 */
public final class Link implements AutoCloseable {

	private final EventLoop loop;

	private final InetSocketAddress to;

	private final long delayMillis;

	private final Set<Channel> channels = new HashSet<>();

	private Channel listener;

	private boolean cut;

	private Link(EventLoop loop, InetSocketAddress to, long delayMillis) {
		this.loop = loop;
		this.to = to;
		this.delayMillis = delayMillis;
	}

	/**
	 * Opens a link.
	 * @param loop the event loop that passes the bytes
	 * @param from where the link listens
	 * @param to where it leads
	 * @param delayMillis the delay of each way
	 * @return the open link
	 * @throws IOException if its address can't be opened
	 */
	public static Link open(EventLoop loop, InetSocketAddress from, InetSocketAddress to, long delayMillis)
			throws IOException {
		Link link = new Link(loop, to, delayMillis);
		ChannelFuture bound = new ServerBootstrap().group(loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.AUTO_READ, false)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					link.accept(channel);
				}
			})
			.bind(from)
			.awaitUninterruptibly();
		if (!bound.isSuccess()) {
			throw new IOException("can't listen on " + from, bound.cause());
		}
		link.listener = bound.channel();
		return link;
	}

	/**
	 * Returns where the link listens.
	 * @return the address with its real port
	 */
	public InetSocketAddress address() {
		return (InetSocketAddress) this.listener.localAddress();
	}

	/**
	 * Cuts or restores the link and waits until that is done.
	 * @param silent whether no byte may pass from now on
	 */
	public void cut(boolean silent) {
		this.loop.submit(() -> change(silent)).awaitUninterruptibly();
	}

	private void change(boolean silent) {
		if (this.cut == silent) {
			return;
		}
		this.cut = silent;
		Set<Channel> current = Set.copyOf(this.channels);
		if (silent) {
			current.forEach((channel) -> channel.config().setAutoRead(false));
		}
		else {
			current.forEach(Link::reset);
		}
	}

	private static void reset(Channel channel) {
		channel.config().setOption(ChannelOption.SO_LINGER, 0);
		channel.close();
	}

	private void accept(Channel near) {
		track(near);
		if (this.cut) {
			return;
		}
		ChannelFuture connected = new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.AUTO_READ, false)
			.option(ChannelOption.TCP_NODELAY, true)
			.handler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
				}
			})
			.connect(this.to);
		Channel far = connected.channel();
		track(far);
		connected.addListener((future) -> {
			if (!future.isSuccess()) {
				reset(near);
				return;
			}
			near.pipeline().addLast(new Forward(far));
			far.pipeline().addLast(new Forward(near));
			near.config().setAutoRead(!this.cut);
			far.config().setAutoRead(!this.cut);
		});
	}

	private void track(Channel channel) {
		this.channels.add(channel);
		channel.closeFuture().addListener((future) -> this.channels.remove(channel));
	}

	@Override
	public void close() {
		this.listener.close().awaitUninterruptibly();
		this.loop.submit(() -> Set.copyOf(this.channels).forEach(Channel::close)).awaitUninterruptibly();
	}

	/**
	 * Passes the bytes of one direction on. Confined to the link's event loop.
	 */
	private final class Forward extends ChannelInboundHandlerAdapter {

		private final Channel target;

		Forward(Channel target) {
			this.target = target;
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			later(() -> this.target.writeAndFlush(message));
		}

		@Override
		public void channelWritabilityChanged(ChannelHandlerContext context) {
			boolean writable = context.channel().isWritable();
			this.target.config().setAutoRead(writable && !Link.this.cut);
			context.fireChannelWritabilityChanged();
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			later(() -> {
				if (!Link.this.cut) {
					this.target.close();
				}
			});
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

		private void later(Runnable action) {
			if (Link.this.delayMillis == 0) {
				action.run();
				return;
			}
			Link.this.loop.schedule(action, Link.this.delayMillis, TimeUnit.MILLISECONDS);
		}

	}

}
