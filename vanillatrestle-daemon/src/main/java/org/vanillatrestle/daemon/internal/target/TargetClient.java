package org.vanillatrestle.daemon.internal.target;

import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.util.AttributeKey;
import org.vanillatrestle.daemon.internal.pipeline.AttemptHandle;
import org.vanillatrestle.daemon.internal.pipeline.AttemptListener;
import org.vanillatrestle.internal.target.TargetAddress;

/**
 * Sends requests to targets over HTTP/1.1 and pools idle connections for reuse.
 * <p>
 * Used only on the VM's event loop, which also processes its connections.
 */
public final class TargetClient implements AutoCloseable {

	private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

	private static final int MAX_IDLE_CONNECTIONS_PER_TARGET = 64;

	private static final int MAX_HEAD_BYTES = 64 * 1024;

	private static final int MAX_CHUNK_BYTES = 64 * 1024;

	/**
	 * Share of a target's idle timeout after which an idle connection is no longer
	 * reused.
	 */
	private static final double REUSE_IDLE_TIMEOUT_SHARE = 0.6;

	private static final AttributeKey<Long> USABLE_UNTIL_NANOS = AttributeKey.valueOf("usableUntilNanos");

	private final boolean isCloseDelimitedAllowed;

	private final Bootstrap bootstrap;

	private final Map<TargetAddress, Deque<Channel>> idleConnections = new HashMap<>();

	private boolean closed;

	/**
	 * Creates a client.
	 * @param eventLoop the VM's event loop
	 */
	public TargetClient(EventLoop eventLoop) {
		this(eventLoop, CONNECT_TIMEOUT_MILLIS, false);
	}

	/**
	 * Creates a client.
	 * @param eventLoop the VM's event loop
	 * @param connectTimeoutMillis the maximum time to establish a connection
	 * @param isCloseDelimitedAllowed whether a response with neither a content length nor
	 * chunked encoding is complete when its connection is closed without a reset
	 */
	public TargetClient(EventLoop eventLoop, int connectTimeoutMillis, boolean isCloseDelimitedAllowed) {
		this.isCloseDelimitedAllowed = isCloseDelimitedAllowed;
		this.bootstrap = new Bootstrap().group(eventLoop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
			.handler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					HttpDecoderConfig config = new HttpDecoderConfig().setMaxHeaderSize(MAX_HEAD_BYTES)
						.setMaxChunkSize(MAX_CHUNK_BYTES);
					TargetResponseDecoder decoder = new TargetResponseDecoder(config);
					channel.pipeline().addLast(new HttpRequestEncoder());
					channel.pipeline().addLast(decoder);
					channel.pipeline().addLast(new TargetConnection(TargetClient.this, decoder));
				}
			});
	}

	/**
	 * Sends a request.
	 * @param request the request
	 * @param listener is notified of the response or of the failure
	 * @return the attempt
	 */
	public AttemptHandle send(TargetRequest request, AttemptListener listener) {
		TargetAttempt attempt = new TargetAttempt(request, listener);
		Channel pooled = request.freshConnection() ? null : takeIdle(request.address());
		if (pooled != null) {
			attempt.start(pooled);
			return attempt;
		}
		TargetAddress address = request.address();
		this.bootstrap.connect(address.host(), address.port())
			.addListener((ChannelFuture future) -> attempt.onConnected(future));
		return attempt;
	}

	/**
	 * Checks whether a target accepts connections.
	 * @param address the target's address
	 * @param result receives {@code false} if the connection was refused, and
	 * {@code true} if it was accepted or there was no response in time. Not called before
	 * this method returns
	 */
	public void checkListening(TargetAddress address, Consumer<Boolean> result) {
		this.bootstrap.connect(address.host(), address.port()).addListener((ChannelFuture future) -> {
			future.channel().close();
			boolean refused = future.cause() instanceof ConnectException
					&& !(future.cause() instanceof ConnectTimeoutException);
			future.channel().eventLoop().execute(() -> result.accept(!refused));
		});
	}

	boolean isCloseDelimitedAllowed() {
		return this.isCloseDelimitedAllowed;
	}

	private Channel takeIdle(TargetAddress address) {
		Deque<Channel> channels = this.idleConnections.get(address);
		if (channels == null) {
			return null;
		}
		for (Channel channel = channels.pollLast(); channel != null; channel = channels.pollLast()) {
			if (channel.isActive() && channel.attr(USABLE_UNTIL_NANOS).get() - System.nanoTime() > 0) {
				return channel;
			}
			channel.close();
		}
		return null;
	}

	/**
	 * Returns a connection to the pool after its exchange is complete.
	 * @param address the target's address
	 * @param channel the connection
	 * @param idleMillis the time for which the target keeps an idle connection open
	 */
	void putIdle(TargetAddress address, Channel channel, long idleMillis) {
		Deque<Channel> channels = this.idleConnections.computeIfAbsent(address, (key) -> new ArrayDeque<>());
		if (this.closed || !channel.isActive() || channels.size() >= MAX_IDLE_CONNECTIONS_PER_TARGET) {
			channel.close();
			return;
		}
		long usableNanos = (long) (REUSE_IDLE_TIMEOUT_SHARE * TimeUnit.MILLISECONDS.toNanos(idleMillis));
		channel.attr(USABLE_UNTIL_NANOS).set(System.nanoTime() + usableNanos);
		channel.config().setAutoRead(true);
		channels.addLast(channel);
	}

	/**
	 * Removes from the pool a connection that was closed while idle.
	 * @param address the target's address
	 * @param channel the connection
	 */
	void removeIdle(TargetAddress address, Channel channel) {
		Deque<Channel> channels = this.idleConnections.get(address);
		if (channels == null) {
			return;
		}
		channels.remove(channel);
		if (channels.isEmpty()) {
			this.idleConnections.remove(address);
		}
	}

	@Override
	public void close() {
		this.closed = true;
		List<Channel> channels = this.idleConnections.values().stream().flatMap(Deque::stream).toList();
		this.idleConnections.clear();
		channels.forEach(Channel::close);
	}

}
