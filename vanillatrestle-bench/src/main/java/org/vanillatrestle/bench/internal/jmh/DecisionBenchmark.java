package org.vanillatrestle.bench.internal.jmh;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.vanillatrestle.Contract;
import org.vanillatrestle.ContractService;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.ModelName;
import org.vanillatrestle.Objective;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.Repeat;
import org.vanillatrestle.ServiceKind;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.policy.PolicySettings;
import org.vanillatrestle.internal.policy.RequestPolicy;
import org.vanillatrestle.internal.request.Admission;
import org.vanillatrestle.internal.request.Attempt;
import org.vanillatrestle.internal.request.AttemptOutcome;
import org.vanillatrestle.internal.request.Placement;
import org.vanillatrestle.internal.request.PolicyRequest;
import org.vanillatrestle.internal.request.PoolSummary;
import org.vanillatrestle.internal.request.Ticket;
import org.vanillatrestle.internal.target.Announcement;
import org.vanillatrestle.internal.target.TargetAddress;
import org.vanillatrestle.internal.target.TargetCapacity;
import org.vanillatrestle.internal.target.TargetLoad;
import org.vanillatrestle.internal.target.TargetRegistry;

/**
 * The time of all decisions on one request, from its arrival to its end, with the
 * targets, data centres and contracts of a large deployment.
 * <p>
 * Not thread safe.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class DecisionBenchmark {

	private static final int TARGETS = 96;

	private static final int DATA_CENTRES = 50;

	private static final int IN_FLIGHT = 400;

	private static final long NANOS_BETWEEN_REQUESTS = 1_000_000;

	private static final ModelName MODEL = new ModelName("model-1");

	private static final ServiceName SERVICE = new ServiceName("drafts");

	/**
	 * The number of contracts.
	 */
	@Param({ "16", "1600" })
	public int contracts;

	private final UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(1L);

	private final List<PolicyRequest> requests = new ArrayList<>();

	private final List<Attempt> running = new ArrayList<>();

	private RequestPolicy policy;

	private long nowNanos;

	private int next;

	/**
	 * Builds the deployment.
	 */
	@Setup
	public void setUp() {
		DataCentreId dataCentre = new DataCentreId("dc-0");
		RegionId region = new RegionId("region-0");
		TargetRegistry registry = new TargetRegistry(dataCentre, Long.MAX_VALUE / 2);
		for (int i = 0; i < TARGETS; i++) {
			registry.announce(new Announcement(new TargetId("engine-" + i), dataCentre, 1, 1, ServiceKind.MODEL, null,
					SERVICE, Set.of(MODEL), new TargetAddress("127.0.0.1", 1),
					new TargetCapacity(4 + i % 3 * 16, 400, 100 + i, 0), TargetLoad.IDLE, false, false), 0);
		}
		this.policy = new RequestPolicy(PolicySettings.builder().build(), region, dataCentre, new VmId("vm-0"),
				registry, this.random, 0);
		ContractService service = ContractService.builder(SERVICE, ServiceKind.MODEL)
			.models(Set.of(MODEL))
			.maxRequestsPerSecond(1_000_000)
			.maxTokensPerSecond(1_000_000_000)
			.maxInFlight(1_000_000)
			.build();
		Set<RegionId> allowed = Set.of(region, new RegionId("region-1"), new RegionId("region-2"));
		for (int i = 0; i < this.contracts; i++) {
			CustomerId customer = new CustomerId("customer-" + i);
			this.policy.contractChanged(
					Contract.builder(customer, 1).allowedRegions(allowed).services(List.of(service)).build(), 0);
			this.requests.add(PolicyRequest.builder(customer, service)
				.model(MODEL)
				.repeat(Repeat.IDEMPOTENT)
				.promptTokens(500)
				.maxTokens(200)
				.prefixHash(i + 1)
				.objective((i % 2 == 0) ? Objective.COST : Objective.TAIL_LATENCY)
				.allowedRegions(allowed)
				.build());
		}
		for (int i = 1; i < DATA_CENTRES; i++) {
			this.policy.updateRegionSummary(new PoolSummary(new RegionId("region-" + i % 5),
					new DataCentreId("dc-" + i), this.requests.get(0).pool(), 0, 500, 0, 100, 0), 0);
		}
		for (int i = 0; i < IN_FLIGHT; i++) {
			this.running.add(start());
		}
	}

	/**
	 * Takes one request from its arrival to its dispatch and ends an older one.
	 * @return the attempt
	 */
	@Benchmark
	public Attempt decide() {
		this.nowNanos += NANOS_BETWEEN_REQUESTS;
		int index = this.random.nextInt(this.running.size());
		Attempt old = this.running.get(index);
		this.policy.firstByteReceived(old, this.nowNanos);
		this.policy.attemptFinished(old, AttemptOutcome.COMPLETED, 100, this.nowNanos);
		this.policy.release(old.ticket(), 600);
		Attempt attempt = start();
		this.running.set(index, attempt);
		return attempt;
	}

	private Attempt start() {
		PolicyRequest request = this.requests.get(this.next++ % this.requests.size());
		Ticket ticket = ((Admission.Admitted) this.policy.admit(request, this.nowNanos)).ticket();
		Placement placement = this.policy.choosePlacement(request, Set.of(), true, this.nowNanos);
		return this.policy.attemptStarted(ticket, placement, this.nowNanos);
	}

}
