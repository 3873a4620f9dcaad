package org.vanillatrestle.daemon;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.vanillatrestle.daemon.internal.fleet.FleetLinks;
import org.vanillatrestle.daemon.internal.gateway.ControlRoute;
import org.vanillatrestle.daemon.internal.gateway.ControlVm;
import org.vanillatrestle.daemon.internal.gateway.EntryVm;
import org.vanillatrestle.daemon.internal.http.HttpRoute;
import org.vanillatrestle.daemon.internal.http.HttpRoutes;
import org.vanillatrestle.daemon.internal.http.HttpServer;
import org.vanillatrestle.daemon.internal.http.ServerDrain;
import org.vanillatrestle.daemon.internal.lifecycle.Closer;
import org.vanillatrestle.daemon.internal.logging.EventKind;
import org.vanillatrestle.daemon.internal.logging.EventLog;
import org.vanillatrestle.daemon.internal.routes.MetricsRoute;
import org.vanillatrestle.daemon.internal.settings.HostAndPort;
import org.vanillatrestle.daemon.internal.settings.HttpLimits;
import org.vanillatrestle.daemon.protocol.GatewayProtocol;
import org.vanillatrestle.internal.gateway.DrainWindow;

/**
 * One VM of a declared deployment, running in this process.
 * <p>
 * A single event loop owns all state of the request path. {@link #close()} is graceful:
 * the VM leaves the directory, completes the requests in progress within the grace time,
 * closes its servers, and then releases all resources. Thread safe.
 */
public final class GatewayNode implements AutoCloseable {

	/**
	 * Time for which an entry VM accepts all requests after it has left the directory,
	 * because callers still use earlier answers of the directory.
	 */
	private static final long ACCEPT_ALL_MILLIS = 2_500;

	/**
	 * Part of the grace time that is reserved for closing sockets and files.
	 */
	private static final long CLOSE_RESERVE_MILLIS = 700;

	private final GatewaySettings settings;

	private final Closer closer = new Closer();

	private final EventLoop loop;

	private final List<HttpServer> servers = new ArrayList<>();

	private FleetLinks links;

	private Optional<EntryVm> entry = Optional.empty();

	private boolean closed;

	private GatewayNode(GatewaySettings settings) {
		this.settings = settings;
		MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1,
				new DefaultThreadFactory("vanillatrestle-" + settings.vm()), NioIoHandler.newFactory());
		this.closer.add(() -> group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly());
		this.loop = group.next();
	}

	/**
	 * Starts a VM.
	 * @param settings its settings
	 * @param protocol the platform's interfaces
	 * @return the running VM
	 * @throws IOException if an address is in use or the data folder can't be opened
	 */
	public static GatewayNode start(GatewaySettings settings, GatewayProtocol protocol) throws IOException {
		GatewayNode node = new GatewayNode(settings);
		try {
			node.open(protocol);
		}
		catch (IOException | RuntimeException ex) {
			node.closer.close();
			throw ex;
		}
		EventLog.write(EventKind.STARTED, "version", Vanillatrestle.VERSION, "vm", settings.vm(), "role",
				settings.role(), "region", settings.region(), "dataCentre", settings.dataCentre(), "founding",
				settings.founding(), "seeds", settings.seeds());
		return node;
	}

	// differs between VMs and between starts; a cryptographically secure seed would take
	// longer to create than it is worth
	private long seed() {
		return System.nanoTime() ^ ((long) this.settings.vm().hashCode() << Integer.SIZE);
	}

	private void open(GatewayProtocol protocol) throws IOException {
		UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed());
		this.links = new FleetLinks(this.settings, this.loop, random);
		Optional<ControlVm> control = Optional.empty();
		if (this.settings.role() == GatewayRole.ENTRY) {
			EntryVm part = new EntryVm(this.settings, protocol, this.loop, this.links, random, this.closer);
			this.links.listen(part.fleet());
			part.start(this.closer);
			this.servers.addAll(part.servers());
			this.entry = Optional.of(part);
		}
		else {
			ControlVm part = new ControlVm(this.settings, protocol, this.loop, this.links, this.closer);
			this.links.listen(part.fleet());
			part.start(this.loop);
			control = Optional.of(part);
		}
		this.closer.add(() -> this.links.stop().get(1, TimeUnit.SECONDS));
		listenForCalls(protocol, control);
	}

	private void listenForCalls(GatewayProtocol protocol, Optional<ControlVm> control) throws IOException {
		ControlRoute calls = new ControlRoute(protocol, () -> this.entry.map(EntryVm::isReady).orElse(true),
				control.map((part) -> part), this.loop);
		for (HostAndPort address : this.settings.listen().controlCalls()) {
			listen(address, List.of(calls));
		}
		List<HttpRoute> metrics = new ArrayList<>();
		this.entry.ifPresent((part) -> metrics.add(new MetricsRoute(part.telemetry()::scrape)));
		control.ifPresent((part) -> metrics.add(new MetricsRoute(part.metrics()::scrape)));
		listen(new HostAndPort(this.settings.host(), this.settings.listen().metricsPort()), metrics);
	}

	private void listen(HostAndPort address, List<HttpRoute> routes) throws IOException {
		HttpServer server = this.closer.add(new HttpServer(this.loop, HttpLimits.DEFAULT, new HttpRoutes(routes)));
		server.listen(address);
		this.servers.add(server);
	}

	/**
	 * Applies changed settings. Only the seeds can change while a VM runs.
	 * @param changed the changed settings
	 */
	public void reload(GatewaySettings changed) {
		this.loop.execute(() -> this.links.setSeeds(changed.seeds()));
		EventLog.write(EventKind.RELOADED, "seeds", changed.seeds());
	}

	@Override
	public synchronized void close() {
		if (this.closed) {
			return;
		}
		this.closed = true;
		EventLog.write(EventKind.STOPPING, "vm", this.settings.vm());
		// half of a short grace time is left for what came in the other half
		long endMillis = this.settings.bounds().graceMillis() - CLOSE_RESERVE_MILLIS;
		DrainWindow window = new DrainWindow(this.entry.isPresent() ? Math.min(ACCEPT_ALL_MILLIS, endMillis / 2) : 0,
				endMillis);
		this.entry.ifPresent((part) -> part.startShutdown(window));
		new ServerDrain(this.loop, this.servers).run(window.unconditionalMillis(), window.endMillis());
		this.closer.close();
		EventLog.write(EventKind.STOPPED, "vm", this.settings.vm());
	}

}
