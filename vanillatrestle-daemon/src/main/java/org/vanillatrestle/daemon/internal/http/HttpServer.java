package org.vanillatrestle.daemon.internal.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import org.vanillatrestle.daemon.internal.settings.HostAndPort;
import org.vanillatrestle.daemon.internal.settings.HttpLimits;

/**
 * The HTTP server of a VM.
 * <p>
 * All connections share the VM's single event loop. For a caller that reads slowly, at
 * most {@link #HIGH_WATER_BYTES} bytes of its answer are buffered in memory.
 */
public final class HttpServer implements AutoCloseable {

	private static final int MAX_REQUEST_LINE_BYTES = 8 * 1024;

	private static final int MAX_CHUNK_BYTES = 64 * 1024;

	private static final int LOW_WATER_BYTES = 32 * 1024;

	private static final int HIGH_WATER_BYTES = 128 * 1024;

	private static final int ACCEPT_BACKLOG = 4_096;

	private static final long STOP_STEP_MILLIS = 1;

	private final EventLoop eventLoop;

	private final HttpLimits limits;

	private final BodyMemory memory;

	private final HttpRoutes routes;

	private final ChannelGroup connections;

	private final AtomicInteger activeRequests = new AtomicInteger();

	private final AtomicLong startedRequests = new AtomicLong();

	private volatile boolean shuttingDown;

	// null until the shutdown ends
	private ServerStop stop;

	private Channel server;

	/**
	 * Creates a server that does not listen yet.
	 * @param eventLoop the VM's event loop
	 * @param limits the limits on requests and connections
	 * @param routes the routes that serve the requests
	 */
	public HttpServer(EventLoop eventLoop, HttpLimits limits, HttpRoutes routes) {
		this.eventLoop = eventLoop;
		this.limits = limits;
		this.memory = new BodyMemory(limits.maxBodiesBytes());
		this.routes = routes;
		this.connections = new DefaultChannelGroup(eventLoop);
	}

	/**
	 * Starts listening for connections.
	 * @param address the address to bind
	 * @return the bound port
	 * @throws IOException if the address is in use or does not belong to this VM
	 */
	public int listen(HostAndPort address) throws IOException {
		ChannelFuture bound = new ServerBootstrap().group(this.eventLoop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK,
					new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES))
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					initConnection(channel);
				}
			})
			.bind(address.toSocketAddress())
			.awaitUninterruptibly();
		if (!bound.isSuccess()) {
			throw new IOException("The HTTP server can't listen at " + address
					+ ". The port may be in use, or the address does not belong to this VM: "
					+ bound.cause().getMessage(), bound.cause());
		}
		this.server = bound.channel();
		return ((InetSocketAddress) this.server.localAddress()).getPort();
	}

	private void initConnection(SocketChannel channel) {
		if (this.connections.size() >= this.limits.maxConnections()) {
			channel.close();
			return;
		}
		this.connections.add(channel);
		HttpDecoderConfig config = new HttpDecoderConfig().setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
			.setMaxHeaderSize(this.limits.maxHeadBytes())
			.setMaxChunkSize(MAX_CHUNK_BYTES);
		channel.pipeline().addLast(new HttpServerCodec(config));
		channel.pipeline()
			.addLast(new CallerConnection(this.limits, this.memory, this.routes, () -> this.shuttingDown,
					this.activeRequests, this.startedRequests));
		if (this.stop != null) {
			channel.pipeline().fireUserEventTriggered(this.stop);
		}
	}

	/**
	 * Starts the shutdown: each connection closes after its next answer.
	 */
	public void startShutdown() {
		this.shuttingDown = true;
	}

	/**
	 * Ends the shutdown: refuses requests that are still being received and ends those in
	 * progress. Then accepts no further connection, and closes those that are idle. Must
	 * be called on the event loop.
	 * @param newStop counts what was not complete
	 */
	void stop(ServerStop newStop) {
		this.stop = newStop;
		this.connections.forEach((connection) -> connection.pipeline().fireUserEventTriggered(newStop));
		afterNextReads(() -> {
			if (this.server != null) {
				this.server.close();
			}
			afterNextReads(() -> this.connections
				.forEach((connection) -> connection.pipeline().fireUserEventTriggered(ServerStop.READ)));
		});
	}

	// what arrived while the event loop was busy is accepted and read before a timer runs
	private void afterNextReads(Runnable step) {
		this.eventLoop.schedule(step, STOP_STEP_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Returns the number of open connections.
	 * @return the number
	 */
	public int connectionCount() {
		return this.connections.size();
	}

	/**
	 * Returns the memory in use for request bodies.
	 * @return the number of bytes
	 */
	public long bodyMemoryBytes() {
		return this.memory.usedBytes();
	}

	/**
	 * Returns the number of requests whose answer has not been written yet. Can be called
	 * from any thread.
	 * @return the number
	 */
	public int activeRequestCount() {
		return this.activeRequests.get();
	}

	/**
	 * Returns the number of requests whose head has been received since the start. Can be
	 * called from any thread.
	 * @return the number
	 */
	public long startedRequestCount() {
		return this.startedRequests.get();
	}

	@Override
	public void close() {
		if (this.server != null) {
			this.server.close().awaitUninterruptibly();
		}
		this.connections.close().awaitUninterruptibly();
	}

}
