package org.vanillatrestle.daemon;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.jboss.logging.Logger;
import org.vanillatrestle.daemon.internal.lifecycle.Closer;
import org.vanillatrestle.daemon.internal.node.NodeParts;
import org.vanillatrestle.daemon.internal.settings.Settings;
import org.vanillatrestle.daemon.internal.settings.VmSettings;

/**
 * The daemon of one VM, running in this process.
 *
 * <pre>
 * try (Node node = Node.start(settings)) {
 *     System.out.println("HTTP at port " + node.httpPort());
 * }
 * </pre>
 * <p>
 * A single event loop owns all state of the request path. {@link #close()} is graceful:
 * it rejects new requests, completes those in flight within the grace time of the
 * settings and then releases all resources. Thread safe.
 */
public final class Node implements AutoCloseable {

	private static final Logger logger = Logger.getLogger(Node.class);

	private static final long POLL_MILLIS = 10;

	/**
	 * Time without any request after which a stopping VM closes its connections. Requests
	 * that callers sent before they learned of the shutdown have arrived by then; the
	 * time leaves a margin of a few one-way delays between regions.
	 */
	private static final long MIN_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private final Settings settings;

	private final Closer closer = new Closer();

	private final NodeParts parts;

	private int httpPort;

	private boolean closed;

	private Node(Settings settings) {
		this.settings = settings;
		MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1,
				new DefaultThreadFactory("vanillatrestle-" + settings.self().id()), NioIoHandler.newFactory());
		this.closer.add(() -> group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly());
		EventLoop eventLoop = group.next();
		this.parts = new NodeParts(settings, eventLoop, this.closer);
	}

	/**
	 * Starts a daemon.
	 * @param settings its settings
	 * @return the running daemon
	 * @throws IOException if an address is in use or the data folder can't be opened
	 */
	public static Node start(Settings settings) throws IOException {
		Node node = new Node(settings);
		try {
			node.httpPort = node.parts.start();
		}
		catch (IOException | RuntimeException ex) {
			node.closer.close();
			throw ex;
		}
		VmSettings self = settings.self();
		logger.infof("Daemon: VM %s of data centre %s in region %s serves HTTP at %s:%d, roles %s.", self.id(),
				self.dataCentre(), self.region(), self.httpAddress().host(), node.httpPort, self.roles());
		return node;
	}

	/**
	 * Returns the port at which the daemon serves HTTP.
	 * @return the TCP port
	 */
	public int httpPort() {
		return this.httpPort;
	}

	/**
	 * Returns the components of this daemon.
	 * @return the components
	 */
	NodeParts parts() {
		return this.parts;
	}

	@Override
	public synchronized void close() {
		if (this.closed) {
			return;
		}
		this.closed = true;
		this.parts.startShutdown();
		awaitIdle();
		this.closer.close();
		logger.infof("Daemon: VM %s has stopped.", this.settings.self().id());
	}

	// a request may not have arrived completely yet: it may be on an accepted connection,
	// in the listen queue, or partly received
	private void awaitIdle() {
		long graceNanos = TimeUnit.MILLISECONDS.toNanos(this.settings.shutdownGraceMillis());
		long startNanos = System.nanoTime();
		long lastBusyNanos = startNanos;
		long lastBegunCount = this.parts.begunCount();
		while (System.nanoTime() - lastBusyNanos < MIN_IDLE_NANOS && System.nanoTime() - startNanos < graceNanos) {
			try {
				Thread.sleep(POLL_MILLIS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return;
			}
			if (this.parts.busyCount() > 0 || this.parts.begunCount() != lastBegunCount) {
				lastBegunCount = this.parts.begunCount();
				lastBusyNanos = System.nanoTime();
			}
		}
	}

}
