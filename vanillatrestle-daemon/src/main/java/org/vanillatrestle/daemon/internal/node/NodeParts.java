package org.vanillatrestle.daemon.internal.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import org.apache.commons.rng.simple.RandomSource;
import org.jboss.logging.Logger;
import org.vanillatrestle.daemon.internal.contracts.BookContracts;
import org.vanillatrestle.daemon.internal.control.ContractBookReplica;
import org.vanillatrestle.daemon.internal.control.MembershipAuditor;
import org.vanillatrestle.daemon.internal.directory.EntryDirectory;
import org.vanillatrestle.daemon.internal.http.HttpRoute;
import org.vanillatrestle.daemon.internal.http.HttpRoutes;
import org.vanillatrestle.daemon.internal.http.HttpServer;
import org.vanillatrestle.daemon.internal.ledger.LedgerPart;
import org.vanillatrestle.daemon.internal.ledger.OnceService;
import org.vanillatrestle.daemon.internal.ledger.RemovedCallerDetector;
import org.vanillatrestle.daemon.internal.lifecycle.Closer;
import org.vanillatrestle.daemon.internal.operator.OperatorKeys;
import org.vanillatrestle.daemon.internal.operator.OperatorRoute;
import org.vanillatrestle.daemon.internal.operator.OperatorService;
import org.vanillatrestle.daemon.internal.peer.PeerEvents;
import org.vanillatrestle.daemon.internal.peer.PeerService;
import org.vanillatrestle.daemon.internal.peer.PeerServiceSettings;
import org.vanillatrestle.daemon.internal.peer.Seed;
import org.vanillatrestle.daemon.internal.routes.AnnouncementRoute;
import org.vanillatrestle.daemon.internal.routes.EntryRoute;
import org.vanillatrestle.daemon.internal.routes.HealthRoute;
import org.vanillatrestle.daemon.internal.routes.MetricsRoute;
import org.vanillatrestle.daemon.internal.routes.NotControlRoute;
import org.vanillatrestle.daemon.internal.routes.OnceRoute;
import org.vanillatrestle.daemon.internal.routes.StatusRoute;
import org.vanillatrestle.daemon.internal.settings.Role;
import org.vanillatrestle.daemon.internal.settings.Settings;
import org.vanillatrestle.daemon.internal.settings.VmSettings;
import org.vanillatrestle.internal.membership.MembershipEvent;
import org.vanillatrestle.internal.membership.MembershipSettings;
import org.vanillatrestle.internal.membership.RegionReachability;
import org.vanillatrestle.internal.membership.SummarySettings;
import org.vanillatrestle.internal.target.Announcement;
import org.vanillatrestle.internal.target.AnnouncementOutcome;
import org.vanillatrestle.wire.PeerChannel;
import org.vanillatrestle.wire.PeerIdentity;
import org.vanillatrestle.wire.PeerSettings;
import org.vanillatrestle.wire.TlsSettings;

/**
 * Creates, connects and starts the components of a daemon according to its settings.
 * <p>
 * A single thread creates and starts an instance; requests and peer messages are then
 * handled on the VM's event loop.
 */
public final class NodeParts {

	private static final Logger logger = Logger.getLogger(NodeParts.class);

	private static final long REGION_STATUS_PERIOD_MILLIS = 500;

	private static final String NO_ADDRESS = "none";

	private final Settings settings;

	private final EventLoop loop;

	private final Closer closer;

	private final long incarnation = System.currentTimeMillis();

	private final BookContracts contracts = new BookContracts();

	private final ServingPart serving;

	private final ReplicaLinks replicaLinks;

	private final LatestRegionStatus regionStatus;

	private final EntryVmAvailability entryAvailability;

	private Optional<ContractBookReplica> control = Optional.empty();

	private Optional<LedgerPart> ledger = Optional.empty();

	private PeerService peers;

	private HttpServer front;

	private MembershipAuditor vmNotes;

	private volatile boolean shuttingDown;

	/**
	 * Creates the components that need neither a disk nor a socket.
	 * @param settings the daemon's settings
	 * @param loop the VM's event loop
	 * @param closer closes the resources that this instance opens
	 */
	public NodeParts(Settings settings, EventLoop loop, Closer closer) {
		this.settings = settings;
		this.loop = loop;
		this.closer = closer;
		this.serving = new ServingPart(settings, loop, this.contracts, this.incarnation);
		this.replicaLinks = new ReplicaLinks(loop);
		this.regionStatus = new LatestRegionStatus(settings.self().region(), settings.self().dataCentre());
		this.entryAvailability = new EntryVmAvailability(settings, () -> this.peers, () -> this.shuttingDown);
	}

	/**
	 * Opens the data folder and the sockets, and starts all components.
	 * @return the TCP port at which HTTP is served
	 * @throws IOException if a folder can't be opened or an address can't be bound
	 */
	public int start() throws IOException {
		openReplicas();
		EntryDirectory directory = new EntryDirectory(this.settings, this.entryAvailability);
		OnceService once = new OnceService(this.settings, this.ledger, () -> this.peers);
		this.peers = newPeerService();
		this.serving.build(this.peers, once, directory, this.closer);
		startPeers(once);
		startReplicas();
		return startHttp(directory);
	}

	private void openReplicas() throws IOException {
		if (this.settings.self().hasRole(Role.CONTROL)) {
			ContractBookReplica part = this.closer
				.add(new ContractBookReplica(this.settings, this.replicaLinks.transport(ReplicaLinks.Group.CONTROL),
						(page) -> this.loop.execute(() -> this.contracts.accept(page))));
			this.replicaLinks.register(ReplicaLinks.Group.CONTROL, part.replica());
			this.control = Optional.of(part);
		}
		if (this.settings.self().hasRole(Role.LEDGER)) {
			LedgerPart part = this.closer
				.add(new LedgerPart(this.settings, this.replicaLinks.transport(ReplicaLinks.Group.LEDGER)));
			this.replicaLinks.register(ReplicaLinks.Group.LEDGER, part.replica());
			this.ledger = Optional.of(part);
			this.contracts.addListener(new RemovedCallerDetector(part));
		}
	}

	private void startReplicas() {
		this.control.ifPresent(ContractBookReplica::start);
		this.ledger.ifPresent((part) -> part.start(this.loop));
	}

	private PeerService newPeerService() throws IOException {
		VmSettings self = this.settings.self();
		String address = (self.peerAddress().port() != 0) ? self.peerAddress().toString() : "";
		if (!this.settings.advertisePeerAddress()) {
			address = NO_ADDRESS;
		}
		PeerIdentity identity = new PeerIdentity(self.id(), self.dataCentre(), self.region(), this.incarnation,
				address);
		TlsSettings tls = this.settings.peerTls()
			.map((files) -> new TlsSettings(files.certificateFile(), files.keyFile(), files.trustFile()))
			.orElse(null);
		PeerServiceSettings peerSettings = new PeerServiceSettings(identity, roleBits(self),
				self.peerAddress().toSocketAddress(), seeds(), tls, PeerSettings.defaults(),
				MembershipSettings.defaults(), SummarySettings.defaults());
		return new PeerService(this.loop, peerSettings, this.serving::onForwarded, this.contracts,
				this.serving.registry(), this.serving.policyExchange()::capacity, new Events(),
				RandomSource.XO_RO_SHI_RO_128_PP.create());
	}

	private static int roleBits(VmSettings vm) {
		return vm.roles().stream().mapToInt((role) -> 1 << role.ordinal()).sum();
	}

	private List<Seed> seeds() {
		return this.settings.vms()
			.stream()
			.filter((vm) -> !vm.id().equals(this.settings.self().id()) && vm.peerAddress().port() != 0)
			.sorted(Comparator.comparing((VmSettings vm) -> !vm.hasRole(Role.CONTROL)))
			.map((vm) -> new Seed(vm.peerAddress().toSocketAddress(), vm.dataCentre(), vm.region()))
			.toList();
	}

	private void startPeers(OnceService once) throws IOException {
		InetSocketAddress bound;
		try {
			bound = this.peers.start().get();
		}
		catch (ExecutionException ex) {
			throw new IOException("Can't listen for peer connections at " + this.settings.self().peerAddress()
					+ ". The port may be in use, or the address may not belong to this VM: "
					+ ex.getCause().getMessage(), ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException("Interrupted while starting to listen for peer connections.", ex);
		}
		this.closer.add(() -> this.peers.stop().get(1, TimeUnit.SECONDS));
		this.loop.execute(() -> {
			this.peers.setCallReceiver(PeerChannel.ONCE, once::answer);
			this.replicaLinks.start(this.peers);
			this.contracts.setAppliedAction(this.peers::bookChanged);
			this.serving.policyExchange().start(this.peers);
			startControl();
		});
		this.closer.add(() -> this.loop.execute(this.serving.policyExchange()::close));
		this.loop.scheduleAtFixedRate(this::updateRegionStatus, 0, REGION_STATUS_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
		logger.debugf("Daemon: listening for peer connections at %s.", bound);
	}

	private void startControl() {
		if (this.control.isEmpty()) {
			return;
		}
		this.vmNotes = new MembershipAuditor(this.settings, this.control.get(), this.peers, System::currentTimeMillis);
		this.peers.setDatagramReceiver(PeerChannel.STATUS, this.vmNotes::receive);
		for (VmSettings vm : this.settings.vmsWithRole(Role.CONTROL)) {
			if (!vm.id().equals(this.settings.self().id())) {
				this.peers.keepLink(vm.peerAddress().toSocketAddress());
			}
		}
	}

	private void updateRegionStatus() {
		this.regionStatus.update(this.peers, this.contracts.appliedIndex(), System.nanoTime());
	}

	private int startHttp(EntryDirectory directory) throws IOException {
		this.front = new HttpServer(this.loop, this.settings.httpLimits(), new HttpRoutes(routes(directory)));
		this.closer.add(this.front);
		this.serving.metrics().registerGauge("vanillatrestle.connections", this.front::connectionCount);
		return this.front.listen(this.settings.self().httpAddress());
	}

	private List<HttpRoute> routes(EntryDirectory directory) {
		OperatorKeys operators = new OperatorKeys(this.settings.operators());
		List<HttpRoute> routes = new ArrayList<>();
		routes.add(new HealthRoute(this::isReady));
		routes.add(new MetricsRoute(this.serving.metrics()::scrape));
		routes.add(new AnnouncementRoute(this::announce, directory::localEntries, this.settings.targetTtlMillis(),
				this.settings.targetSecretSha256().orElse(null)));
		routes.add(new EntryRoute(this.contracts, directory,
				new OnceKeyPrefixes(this.settings, this.serving.onceClient())));
		routes.add(new OnceRoute(this.contracts, this.serving.onceClient()));
		routes.add(operatorRoute(operators));
		routes.add(new StatusRoute(operators, this::status));
		routes.add(this.serving.pipelineRoute());
		return routes;
	}

	// Operators restart the next VM once this one is ready. Without this VM's votes, that
	// could leave its groups without a majority.
	private boolean isReady() {
		return this.contracts.isLoaded() && !this.shuttingDown
				&& this.control.map((part) -> part.replica().status().isVoter()).orElse(true)
				&& this.ledger.map((part) -> part.replica().status().isVoter()).orElse(true);
	}

	private ObjectNode status() {
		return new StatusDocument(this.settings, this.contracts, this.peers, this.control, this.ledger).build();
	}

	private HttpRoute operatorRoute(OperatorKeys operators) {
		if (this.control.isPresent()) {
			return new OperatorRoute(new OperatorService(operators, this.control.get().gateway(), this.regionStatus,
					System::currentTimeMillis), this.loop);
		}
		return new NotControlRoute(
				this.settings.vmsWithRole(Role.CONTROL).stream().map((vm) -> vm.httpAddress().toString()).toList());
	}

	private AnnouncementOutcome announce(Announcement announcement) {
		AnnouncementOutcome outcome = this.serving.registry().announce(announcement, System.nanoTime());
		if (outcome == AnnouncementOutcome.ACCEPTED) {
			this.peers.announced(announcement);
		}
		return outcome;
	}

	/**
	 * Starts a graceful shutdown: announces it to the other VMs and rejects new requests.
	 */
	public void startShutdown() {
		this.shuttingDown = true;
		this.front.startShutdown();
		this.loop.submit(() -> {
			this.peers.leave();
			this.serving.startShutdown();
		}).awaitUninterruptibly();
	}

	/**
	 * Returns the number of requests that are still in progress.
	 * @return the number of requests
	 */
	public int busyCount() {
		return this.loop.submit(this.serving::busyCount).awaitUninterruptibly().getNow();
	}

	/**
	 * Returns the number of requests that have begun to arrive since the start. May be
	 * called by any thread.
	 * @return the number of requests
	 */
	public long begunCount() {
		return this.front.startedRequestCount();
	}

	public BookContracts contracts() {
		return this.contracts;
	}

	/**
	 * Handles membership and reachability events of the other VMs. Used on the VM's event
	 * loop.
	 */
	private final class Events implements PeerEvents {

		@Override
		public void memberChanged(MembershipEvent event) {
			boolean ended = event.kind() == MembershipEvent.Kind.DIED || event.kind() == MembershipEvent.Kind.LEFT;
			boolean joined = event.kind() == MembershipEvent.Kind.JOINED;
			NodeParts parts = NodeParts.this;
			if (parts.vmNotes != null) {
				parts.vmNotes.memberChanged(event);
			}
			if (ended) {
				parts.ledger
					.ifPresent((part) -> part.holderEnded(event.member().vm(), event.member().incarnation() + 1));
			}
			if (joined) {
				parts.ledger.ifPresent((part) -> part.holderEnded(event.member().vm(), event.member().incarnation()));
			}
		}

		@Override
		public void regionChanged(RegionReachability reach) {
			logger.infof("Daemon: region %s is %s.", reach.region(), reach.reachable() ? "reachable" : "unreachable");
		}

	}

}
