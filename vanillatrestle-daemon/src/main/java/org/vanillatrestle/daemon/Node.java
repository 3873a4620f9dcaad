package org.vanillatrestle.daemon;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jboss.logging.Logger;
import org.vanillatrestle.daemon.internal.contracts.ContractFiles;
import org.vanillatrestle.daemon.internal.contracts.FolderContracts;
import org.vanillatrestle.daemon.internal.http.HttpFront;
import org.vanillatrestle.daemon.internal.http.HttpRoutes;
import org.vanillatrestle.daemon.internal.lifecycle.Closer;
import org.vanillatrestle.daemon.internal.pipeline.AuthenticateFilter;
import org.vanillatrestle.daemon.internal.pipeline.ClassifyFilter;
import org.vanillatrestle.daemon.internal.pipeline.DispatchFilter;
import org.vanillatrestle.daemon.internal.pipeline.LocalAttempts;
import org.vanillatrestle.daemon.internal.pipeline.Pipeline;
import org.vanillatrestle.daemon.internal.pipeline.RandomRouter;
import org.vanillatrestle.daemon.internal.pipeline.RegionFilter;
import org.vanillatrestle.daemon.internal.pipeline.Route;
import org.vanillatrestle.daemon.internal.routes.HealthRoute;
import org.vanillatrestle.daemon.internal.routes.PipelineRoute;
import org.vanillatrestle.daemon.internal.routes.TargetsRoute;
import org.vanillatrestle.daemon.internal.settings.Settings;
import org.vanillatrestle.daemon.internal.target.TargetClient;
import org.vanillatrestle.internal.target.TargetRegistry;

/**
 * One VM's daemon, started inside this process.
 *
 * <pre>
 * try (Node node = Node.start(settings)) {
 *     System.out.println("HTTP at port " + node.httpPort());
 * }
 * </pre>
 * <p>
 * All state of the request path is owned by one event loop. {@link #close()} is graceful:
 * it refuses new requests, finishes those in flight within the grace time of the settings
 * and then releases everything. Thread safe.
 */
public final class Node implements AutoCloseable {

	private static final Logger logger = Logger.getLogger(Node.class);

	private static final long POLL_MILLIS = 10;

	private final Settings settings;

	private final Closer closer = new Closer();

	private final EventLoop eventLoop;

	private final FolderContracts contracts = new FolderContracts();

	private PipelineRoute pipelineRoute;

	private DispatchFilter dispatch;

	private HttpFront front;

	private int httpPort;

	private boolean closed;

	private Node(Settings settings) {
		this.settings = settings;
		MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1,
				new DefaultThreadFactory("vanillatrestle-" + settings.self().vm()), NioIoHandler.newFactory());
		this.closer.add(() -> group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly());
		this.eventLoop = group.next();
	}

	/**
	 * Starts a daemon.
	 * @param settings its settings
	 * @return the running daemon
	 * @throws IOException if an address is in use or the data folder can't be used
	 */
	public static Node start(Settings settings) throws IOException {
		Node node = new Node(settings);
		try {
			node.startParts();
		}
		catch (IOException | RuntimeException ex) {
			node.closer.close();
			throw ex;
		}
		return node;
	}

	private void startParts() throws IOException {
		if (this.settings.contractsFolder().isPresent()) {
			ContractFiles.readAll(this.settings.contractsFolder().get()).forEach(this.contracts::add);
		}
		UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();
		TargetRegistry registry = new TargetRegistry(this.settings.self().dataCentre(),
				TimeUnit.MILLISECONDS.toNanos(this.settings.targetTtlMillis()));
		TargetClient client = this.closer.add(new TargetClient(this.eventLoop));
		LocalAttempts local = new LocalAttempts(client);
		this.dispatch = new DispatchFilter(this.eventLoop, new RandomRouter(registry, random), (exchange, route, number,
				offset, listener) -> local.start(exchange, (Route.Local) route, number, offset, listener));
		Pipeline pipeline = new Pipeline(List.of(new AuthenticateFilter(this.contracts), new ClassifyFilter(),
				new RegionFilter(this.settings.self().region(), (contract, caller) -> List.of()), this.dispatch));
		this.pipelineRoute = new PipelineRoute(pipeline, this.settings.self().region(), random, System::nanoTime);
		HttpRoutes routes = new HttpRoutes(List.of(new HealthRoute(() -> !this.closed),
				new TargetsRoute((announcement) -> registry.announce(announcement, System.nanoTime()), () -> List.of(),
						this.settings.targetTtlMillis(), this.settings.targetSecretSha256().orElse(null)),
				this.pipelineRoute));
		this.front = new HttpFront(this.eventLoop, this.settings.httpLimits(), routes);
		this.closer.add(this.front);
		this.httpPort = this.front.listen(this.settings.self().http());
		logger.infof("Daemon: VM %s of data centre %s in region %s serves HTTP at %s:%d.", this.settings.self().vm(),
				this.settings.self().dataCentre(), this.settings.self().region(), this.settings.self().http().host(),
				this.httpPort);
	}

	/**
	 * Returns the port at which HTTP is served.
	 * @return the TCP port
	 */
	public int httpPort() {
		return this.httpPort;
	}

	/**
	 * Returns the contracts in force on this VM.
	 * @return the contracts
	 */
	public FolderContracts contracts() {
		return this.contracts;
	}

	@Override
	public synchronized void close() {
		if (this.closed) {
			return;
		}
		this.closed = true;
		this.eventLoop.submit(this.pipelineRoute::startShutdown).awaitUninterruptibly();
		this.front.startShutdown();
		awaitIdle();
		this.closer.close();
		logger.infof("Daemon: VM %s has stopped.", this.settings.self().vm());
	}

	private void awaitIdle() {
		long graceNanos = TimeUnit.MILLISECONDS.toNanos(this.settings.shutdownGraceMillis());
		long startNanos = System.nanoTime();
		while (busyCount() > 0 && System.nanoTime() - startNanos < graceNanos) {
			try {
				Thread.sleep(POLL_MILLIS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return;
			}
		}
	}

	private int busyCount() {
		return this.eventLoop.submit(() -> this.pipelineRoute.activeCount() + this.dispatch.runningCount())
			.awaitUninterruptibly()
			.getNow();
	}

}
