package org.vanillatrestle.daemon.internal.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.vanillatrestle.Contract;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.VmId;
import org.vanillatrestle.daemon.internal.contracts.BookContracts;
import org.vanillatrestle.daemon.internal.contracts.ContractListener;
import org.vanillatrestle.daemon.internal.directory.EntryDirectory;
import org.vanillatrestle.daemon.internal.forward.ForwardReceiver;
import org.vanillatrestle.daemon.internal.forward.PeerForwardAttempts;
import org.vanillatrestle.daemon.internal.ledger.ClaimFilter;
import org.vanillatrestle.daemon.internal.ledger.OnceClient;
import org.vanillatrestle.daemon.internal.ledger.OnceService;
import org.vanillatrestle.daemon.internal.lifecycle.Closer;
import org.vanillatrestle.daemon.internal.metrics.RequestMetrics;
import org.vanillatrestle.daemon.internal.peer.PeerService;
import org.vanillatrestle.daemon.internal.pipeline.AdmissionFilter;
import org.vanillatrestle.daemon.internal.pipeline.AnswerCutLog;
import org.vanillatrestle.daemon.internal.pipeline.AttemptStarter;
import org.vanillatrestle.daemon.internal.pipeline.AuthenticateFilter;
import org.vanillatrestle.daemon.internal.pipeline.ClassifyFilter;
import org.vanillatrestle.daemon.internal.pipeline.DispatchFilter;
import org.vanillatrestle.daemon.internal.pipeline.LocalAttempts;
import org.vanillatrestle.daemon.internal.pipeline.Pipeline;
import org.vanillatrestle.daemon.internal.pipeline.RegionFilter;
import org.vanillatrestle.daemon.internal.routes.PipelineRoute;
import org.vanillatrestle.daemon.internal.settings.Role;
import org.vanillatrestle.daemon.internal.settings.Settings;
import org.vanillatrestle.daemon.internal.settings.VmSettings;
import org.vanillatrestle.daemon.internal.target.TargetClient;
import org.vanillatrestle.internal.cost.CostAccount;
import org.vanillatrestle.internal.limits.LimitMembers;
import org.vanillatrestle.internal.policy.PolicySettings;
import org.vanillatrestle.internal.policy.RequestPolicy;
import org.vanillatrestle.internal.request.LinkSettings;
import org.vanillatrestle.internal.target.TargetRegistry;
import org.vanillatrestle.wire.ExchangeListener;
import org.vanillatrestle.wire.ForwardExchange;

/**
 * The request path of one VM: the request policy, and the pipelines for requests of
 * callers and for requests that other VMs forward.
 * <p>
 * Used on the VM's event loop.
 */
public final class ServingPart {

	private static final long LINK_DELAY_NANOS = 40_000_000;

	private static final long LINK_BYTES_PER_SECOND = 4_000_000;

	private final Settings settings;

	private final EventLoop loop;

	private final BookContracts contracts;

	private final TargetRegistry registry;

	private final RequestPolicy policy;

	private final CapacityRowConverter rowConverter = new CapacityRowConverter();

	private final PolicyExchange policyExchange;

	private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();

	private final RequestMetrics metrics = new RequestMetrics(System::nanoTime);

	private PipelineRoute pipelineRoute;

	private ForwardReceiver receiver;

	private DispatchFilter dispatch;

	private AdmissionFilter admission;

	private OnceClient onceClient;

	/**
	 * Creates the request path without its pipelines.
	 * @param settings the daemon's settings
	 * @param loop the VM's event loop
	 * @param contracts the contracts in force
	 * @param incarnation the VM's incarnation
	 */
	public ServingPart(Settings settings, EventLoop loop, BookContracts contracts, long incarnation) {
		this.settings = settings;
		this.loop = loop;
		this.contracts = contracts;
		VmSettings self = settings.self();
		this.registry = new TargetRegistry(self.dataCentre(),
				TimeUnit.MILLISECONDS.toNanos(settings.targetTtlMillis()));
		PolicySettings policySettings = PolicySettings.builder()
			.limitMembers(limitMembers(settings))
			.links(links(settings))
			.incarnation(incarnation)
			.build();
		this.policy = new RequestPolicy(policySettings, self.region(), self.dataCentre(), self.id(), this.registry,
				this.random, System.nanoTime());
		this.policyExchange = new PolicyExchange(loop, this.policy, this.rowConverter, System::nanoTime);
		contracts.addListener(new PolicyContractListener());
		contracts.addListener(this.rowConverter);
	}

	private static LimitMembers limitMembers(Settings settings) {
		Map<RegionId, List<VmId>> vms = new TreeMap<>();
		for (VmSettings vm : settings.vmsWithRole(Role.ENTRY)) {
			vms.computeIfAbsent(vm.region(), (region) -> new ArrayList<>()).add(vm.id());
		}
		return new LimitMembers(vms);
	}

	private static Map<DataCentreId, LinkSettings> links(Settings settings) {
		Map<DataCentreId, LinkSettings> links = new HashMap<>();
		for (VmSettings vm : settings.vms()) {
			links.put(vm.dataCentre(), new LinkSettings(LINK_DELAY_NANOS, LINK_BYTES_PER_SECOND,
					settings.transferPriceMicrosPerMegabyte()));
		}
		return links;
	}

	/**
	 * Creates the pipelines. Must be called once, before the VM serves requests.
	 * @param peers the links to other VMs
	 * @param once the once ledger of this data centre
	 * @param directory lists the available entry VMs
	 * @param closer closes the resources that this method opens
	 */
	void build(PeerService peers, OnceService once, EntryDirectory directory, Closer closer) {
		RegionId region = this.settings.self().region();
		TargetClient client = closer.add(new TargetClient(this.loop));
		AttemptStarter starter = new AttemptStarter(new LocalAttempts(client),
				new PeerForwardAttempts(peers, this.contracts, this.random, System::nanoTime));
		this.onceClient = new OnceClient(this.loop, this.settings, peers, once);
		this.admission = new AdmissionFilter(this.loop, this.policy, System::nanoTime);
		this.dispatch = new DispatchFilter(this.loop, this.policy, this.admission, starter,
				new AnswerCutLog(System::nanoTime).andThen(this.metrics), System::nanoTime);
		ClassifyFilter classify = new ClassifyFilter();
		RegionFilter regions = new RegionFilter(region, directory::entriesFor);
		ClaimFilter claim = new ClaimFilter(this.loop, this.onceClient, this.settings.self().id(),
				() -> peers.membership().self().incarnation(), this.random, System::nanoTime);
		Pipeline callers = new Pipeline(List.of(new AuthenticateFilter(this.contracts), classify, regions,
				this.admission, claim, this.dispatch));
		Pipeline forwarded = new Pipeline(List.of(classify, regions, this.admission, this.dispatch));
		this.pipelineRoute = new PipelineRoute(callers, region, this.random, System::nanoTime);
		this.pipelineRoute.addExchangeListener(this.metrics);
		this.receiver = new ForwardReceiver(forwarded, this.contracts, region, System::nanoTime,
				this.settings.httpLimits().maxBodyBytes());
		addGauges();
	}

	private void addGauges() {
		this.metrics.registerGauge("vanillatrestle.requests.in.flight", this.pipelineRoute::activeRequestCount);
		this.metrics.registerGauge("vanillatrestle.requests.queued", this.admission::queuedCount);
		this.metrics.registerGauge("vanillatrestle.requests.forwarded.here", this.receiver::activeCount);
	}

	ExchangeListener onForwarded(ForwardExchange exchange) {
		return this.receiver.onRequest(exchange);
	}

	void startShutdown() {
		this.pipelineRoute.startShutdown();
		this.receiver.startShutdown();
	}

	int busyCount() {
		return this.pipelineRoute.activeRequestCount() + this.receiver.activeCount() + this.dispatch.runningCount()
				+ this.onceClient.unsettledCount();
	}

	TargetRegistry registry() {
		return this.registry;
	}

	RequestPolicy policy() {
		return this.policy;
	}

	PolicyExchange policyExchange() {
		return this.policyExchange;
	}

	PipelineRoute pipelineRoute() {
		return this.pipelineRoute;
	}

	OnceClient onceClient() {
		return this.onceClient;
	}

	RequestMetrics metrics() {
		return this.metrics;
	}

	/**
	 * Forwards contract changes to the policy. Used on the VM's event loop.
	 */
	private final class PolicyContractListener implements ContractListener {

		@Override
		public void changed(Contract contract) {
			ServingPart part = ServingPart.this;
			part.policy.contractChanged(contract, System.nanoTime());
			part.metrics.registerCostGauge(contract.customer().value(), () -> costMicros(contract.customer()));
		}

		private long costMicros(CustomerId customer) {
			CostAccount.Cost cost = ServingPart.this.policy.costs().costs().get(customer);
			return (cost != null) ? cost.targetMicros() + cost.transferMicros() : 0;
		}

		@Override
		public void removed(CustomerId customer) {
			ServingPart.this.policy.contractRemoved(customer);
		}

	}

}
