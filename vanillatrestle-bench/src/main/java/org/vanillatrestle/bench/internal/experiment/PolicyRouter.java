package org.vanillatrestle.bench.internal.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apache.commons.rng.simple.RandomSource;
import org.vanillatrestle.Contract;
import org.vanillatrestle.ContractService;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.ServiceKind;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.Verdict;
import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.limits.AddressedLimitMessage;
import org.vanillatrestle.internal.limits.LimitMembers;
import org.vanillatrestle.internal.policy.PolicySettings;
import org.vanillatrestle.internal.policy.RequestPolicy;
import org.vanillatrestle.internal.request.Admission;
import org.vanillatrestle.internal.request.DequeuedTicket;
import org.vanillatrestle.internal.request.LinkSettings;
import org.vanillatrestle.internal.request.PolicyRequest;
import org.vanillatrestle.internal.request.PoolSummary;
import org.vanillatrestle.internal.request.Ticket;
import org.vanillatrestle.internal.target.Announcement;
import org.vanillatrestle.internal.target.TargetRegistry;

/**
 * An entry VM that runs the project's policy code.
 * <p>
 * Not thread safe.
 */
final class PolicyRouter implements Router {

	private static final long SECOND_NANOS = 1_000_000_000L;

	private static final long TARGET_TTL_NANOS = 3 * SECOND_NANOS;

	private static final long PEER_REPORT_NANOS = 100_000_000;

	private static final long QUEUE_CHECK_NANOS = 10_000_000;

	private static final long SUMMARY_NANOS = 500_000_000;

	private static final int SUMMARY_BYTES = 300;

	private static final int LIMIT_BYTES = 150;

	private static final int LINK_SHARE_DIVISOR = 4;

	private final World world;

	private final String region;

	private final VmId self;

	private final int index;

	private final TargetRegistry registry;

	private final RequestPolicy policy;

	private final ContractService model;

	private final ContractService plain;

	private final Set<RegionId> allowed = new HashSet<>();

	private final Map<Ticket, Waiting> waiting = new HashMap<>();

	PolicyRouter(World world, String region, int index, PolicySettings.Builder settings) {
		this.world = world;
		this.region = region;
		this.index = index;
		this.self = vmId(region, index);
		DataCentreId dataCentre = new DataCentreId(region + "-1");
		this.registry = new TargetRegistry(dataCentre, TARGET_TTL_NANOS);
		Deployment deployment = world.deployment();
		deployment.regions().forEach((plan) -> this.allowed.add(new RegionId(plan.name())));
		this.model = service(
				ContractService.builder(FakeTarget.MODEL_SERVICE, ServiceKind.MODEL).models(Set.of(FakeTarget.MODEL)));
		this.plain = service(ContractService.builder(FakeTarget.PLAIN_SERVICE, ServiceKind.PLAIN));
		this.policy = new RequestPolicy(settings.links(links()).limitMembers(parties()).build(), new RegionId(region),
				dataCentre, this.self, this.registry, RandomSource.XO_SHI_RO_256_PP.create(world.random().nextLong()),
				0);
		this.policy.contractChanged(Contract.builder(new CustomerId(deployment.customer()), 1)
			.objective(deployment.objective())
			.allowedRegions(this.allowed)
			.services(List.of(this.model, this.plain))
			.build(), 0);
	}

	RequestPolicy policy() {
		return this.policy;
	}

	private ContractService service(ContractService.Builder builder) {
		Deployment deployment = this.world.deployment();
		return builder.maxRequestsPerSecond(10_000)
			.maxTokensPerSecond(100_000_000)
			.maxInFlight(100_000)
			.deadlineMillis(deployment.deadlineNanos() / 1_000_000)
			.maxSentAwayPercent(deployment.maxSentAwayPercent())
			.build();
	}

	private Map<DataCentreId, LinkSettings> links() {
		Deployment deployment = this.world.deployment();
		Map<DataCentreId, LinkSettings> result = new HashMap<>();
		for (Deployment.RegionPlan plan : deployment.regions()) {
			int vms = deployment.regions()
				.stream()
				.filter((other) -> other.name().equals(this.region))
				.findFirst()
				.orElseThrow()
				.vms();
			result.put(new DataCentreId(plan.name() + "-1"),
					new LinkSettings(deployment.regionDelayNanos(),
							deployment.linkBytesPerSecond() / LINK_SHARE_DIVISOR / vms,
							deployment.linkPriceMicrosPerMegabyte()));
		}
		return result;
	}

	private LimitMembers parties() {
		Map<RegionId, List<VmId>> result = new HashMap<>();
		for (Deployment.RegionPlan plan : this.world.deployment().regions()) {
			List<VmId> members = new ArrayList<>();
			for (int i = 0; i < plan.vms(); i++) {
				members.add(vmId(plan.name(), i));
			}
			result.put(new RegionId(plan.name()), members);
		}
		return new LimitMembers(result);
	}

	private static VmId vmId(String region, int index) {
		return new VmId(region + "-vm-" + index);
	}

	@Override
	public String region() {
		return this.region;
	}

	@Override
	public void start() {
		EventLoop loop = this.world.loop();
		loop.every(PEER_REPORT_NANOS, this.world.random().nextLong(PEER_REPORT_NANOS), this::reportToPeers);
		loop.every(QUEUE_CHECK_NANOS, QUEUE_CHECK_NANOS, this::startReady);
		loop.every(SECOND_NANOS, this.world.random().nextLong(SECOND_NANOS),
				() -> sendLimits(this.policy.renewLimitShares(now())));
		if (this.index == 0) {
			loop.every(SUMMARY_NANOS, this.world.random().nextLong(SUMMARY_NANOS), this::sendSummaries);
		}
	}

	@Override
	public void announced(Announcement announcement) {
		if (announcement.dataCentre().value().equals(this.region + "-1")) {
			this.registry.announce(announcement, now());
			startReady();
		}
	}

	@Override
	public void arrive(SimulatedRequest request) {
		PolicyFlight flight = new PolicyFlight(this, request, request(request, false));
		admit(flight.policyRequest(), flight);
	}

	/**
	 * Takes a request from another VM.
	 * @param request the request
	 * @param listener hears of its progress over the network
	 * @return cancels the request
	 */
	Runnable receive(SimulatedRequest request, Job.Listener listener) {
		ForwardedFlight flight = new ForwardedFlight(this, request, request(request, true), listener);
		admit(flight.policyRequest(), flight);
		return flight::cancel;
	}

	World world() {
		return this.world;
	}

	long now() {
		return this.world.loop().nowNanos();
	}

	void release(Ticket ticket, long usedTokens) {
		if (ticket != null) {
			this.waiting.remove(ticket);
			this.policy.release(ticket, usedTokens);
		}
	}

	void startReady() {
		if (this.policy.queuedCount() == 0 && this.waiting.isEmpty()) {
			return;
		}
		for (DequeuedTicket ready : this.policy.pollReady(now())) {
			Waiting continuation = this.waiting.remove(ready.ticket());
			if (continuation == null) {
				continue;
			}
			if (ready.refusal().isPresent()) {
				continuation.refused();
				continue;
			}
			continuation.admitted(ready.ticket());
		}
	}

	private void admit(PolicyRequest request, Waiting continuation) {
		follow(this.policy.admit(request, now()), continuation);
	}

	void again(Ticket ticket, Waiting continuation) {
		follow(this.policy.readmit(ticket, now()), continuation);
	}

	private void follow(Admission admission, Waiting continuation) {
		if (admission instanceof Admission.Admitted admitted) {
			continuation.admitted(admitted.ticket());
		}
		else if (admission instanceof Admission.Queued queued) {
			this.waiting.put(queued.ticket(), continuation);
			continuation.queued(queued.ticket());
		}
		else {
			continuation.refused();
		}
	}

	private PolicyRequest request(SimulatedRequest request, boolean forwarded) {
		return PolicyRequest
			.builder(new CustomerId(this.world.deployment().customer()), request.plain() ? this.plain : this.model)
			.model(request.plain() ? null : FakeTarget.MODEL)
			.repeat(request.repeat())
			.promptTokens(request.plain() ? 0 : request.promptTokens())
			.maxTokens(request.maxTokens())
			.prefixHash(request.prefixHash())
			.requestBytes(request.requestBytes())
			.deadlineNanos(request.deadlineNanos())
			.homeRegion(new RegionId(request.home()))
			.objective(this.world.deployment().objective())
			.allowedRegions(this.allowed)
			.forwarded(forwarded)
			.build();
	}

	private void reportToPeers() {
		Map<TargetId, Integer> inFlight = this.policy.ownInFlight();
		for (Router peer : this.world.routers(this.region)) {
			if (peer != this) {
				this.world.loop()
					.after(this.world.deployment().dataCentreDelayNanos(),
							() -> ((PolicyRouter) peer).hearPeer(this.self, inFlight));
			}
		}
	}

	private void hearPeer(VmId peer, Map<TargetId, Integer> inFlight) {
		this.policy.updatePeerInFlight(peer, inFlight, now());
		startReady();
	}

	private void sendSummaries() {
		List<PoolSummary> summaries = this.policy.summaries(now());
		for (Router router : this.world.routers()) {
			if (!router.region().equals(this.region)) {
				this.world.network()
					.send(this.region, router.region(), SUMMARY_BYTES,
							() -> summaries.forEach(
									(summary) -> ((PolicyRouter) router).policy.updateRegionSummary(summary, now())),
							() -> {
							});
			}
		}
	}

	private void sendLimits(List<AddressedLimitMessage> messages) {
		for (AddressedLimitMessage message : messages) {
			for (Router router : this.world.routers()) {
				PolicyRouter receiver = (PolicyRouter) router;
				if (receiver.self.equals(message.to())) {
					this.world.network()
						.send(this.region, receiver.region, LIMIT_BYTES,
								() -> receiver.sendLimits(
										receiver.policy.receiveLimitMessage(this.self, message.message(), now())),
								() -> {
								});
				}
			}
		}
	}

	/**
	 * What waits for admission. Not thread safe.
	 */
	interface Waiting {

		/**
		 * The request waits.
		 * @param ticket its ticket
		 */
		void queued(Ticket ticket);

		/**
		 * The request may be placed.
		 * @param ticket its ticket
		 */
		void admitted(Ticket ticket);

		/**
		 * The request is given up with {@link Verdict#NOT_RUN}.
		 */
		void refused();

	}

}
