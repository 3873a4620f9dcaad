package org.vanillatrestle.bench.internal.load;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;

/**
 * Sends requests over kept connections.
 * <p>
 * Not thread safe; confined to one event loop. It never repeats a request by itself.
 */
final class LoadClient {

	private static final int CONNECT_TIMEOUT_MILLIS = 5000;

	private final EventLoop loop;

	private final Map<InetSocketAddress, Deque<Channel>> idle = new HashMap<>();

	LoadClient(EventLoop loop) {
		this.loop = loop;
	}

	void send(InetSocketAddress address, FullHttpRequest request, Exchange exchange) {
		request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
		Channel channel = poll(address);
		if (channel != null) {
			write(channel, request, exchange);
			return;
		}
		ChannelFuture connected = connect(address);
		connected.addListener((future) -> {
			if (future.isSuccess()) {
				write(connected.channel(), request, exchange);
				return;
			}
			request.release();
			exchange.broken();
		});
	}

	private Channel poll(InetSocketAddress address) {
		Deque<Channel> channels = this.idle.computeIfAbsent(address, (key) -> new ArrayDeque<>());
		Channel channel = channels.pollLast();
		while (channel != null && !channel.isActive()) {
			channel = channels.pollLast();
		}
		return channel;
	}

	private ChannelFuture connect(InetSocketAddress address) {
		Deque<Channel> channels = this.idle.get(address);
		return new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.handler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					channel.pipeline()
						.addLast(new HttpClientCodec(), new LoadConnection(() -> channels.addLast(channel)));
				}
			})
			.connect(address);
	}

	private static void write(Channel channel, FullHttpRequest request, Exchange exchange) {
		channel.pipeline().get(LoadConnection.class).begin(exchange);
		channel.writeAndFlush(request);
	}

	void close() {
		this.idle.values().forEach((channels) -> channels.forEach(Channel::close));
	}

}
