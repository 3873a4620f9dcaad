package org.vanillatrestle.bench.internal.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerKeepAliveHandler;

/**
 * An HTTP server whose connections all run on one event loop, so that its handlers need
 * no locks among themselves.
 * <p>
 * Thread safe. Closing it closes every connection.
 */
public final class HttpServer implements AutoCloseable {

	private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

	private static final int BACKLOG = 4096;

	private final EventLoopGroup group;

	private final ChannelGroup channels;

	private final Channel listener;

	private HttpServer(EventLoopGroup group, ChannelGroup channels, Channel listener) {
		this.group = group;
		this.channels = channels;
		this.listener = listener;
	}

	/**
	 * Opens the port and starts to serve.
	 * @param host the address to listen on
	 * @param port the port, 0 for a free one
	 * @param handlers makes the handler of one connection, which receives whole requests
	 * @return the running server
	 * @throws IOException if the port can't be opened
	 */
	public static HttpServer start(String host, int port, Supplier<ChannelHandler> handlers) throws IOException {
		EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
		ChannelGroup channels = new DefaultChannelGroup(group.next());
		ServerBootstrap bootstrap = new ServerBootstrap().group(group)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					channels.add(channel);
					channel.pipeline()
						.addLast(new HttpServerCodec(), new HttpServerKeepAliveHandler(),
								new HttpObjectAggregator(MAX_BODY_BYTES), handlers.get());
				}
			});
		ChannelFuture bound = bootstrap.bind(host, port).awaitUninterruptibly();
		if (!bound.isSuccess()) {
			group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
			throw new IOException("can't listen on " + host + ":" + port, bound.cause());
		}
		return new HttpServer(group, channels, bound.channel());
	}

	/**
	 * Returns the port in use.
	 * @return the port, never 0
	 */
	public int port() {
		return ((InetSocketAddress) this.listener.localAddress()).getPort();
	}

	public EventLoop eventLoop() {
		return this.group.next();
	}

	@Override
	public void close() {
		this.listener.close().awaitUninterruptibly();
		this.channels.close().awaitUninterruptibly();
		this.group.shutdownGracefully(0, 2, TimeUnit.SECONDS).awaitUninterruptibly();
	}

}
