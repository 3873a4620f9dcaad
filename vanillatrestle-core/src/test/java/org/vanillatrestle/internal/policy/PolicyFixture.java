package org.vanillatrestle.internal.policy;

import java.util.List;
import java.util.Set;

import org.apache.commons.rng.simple.RandomSource;
import org.vanillatrestle.Contract;
import org.vanillatrestle.ContractService;
import org.vanillatrestle.CustomerId;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.ModelName;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.Repeat;
import org.vanillatrestle.ServiceKind;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.request.PolicyRequest;
import org.vanillatrestle.internal.request.PoolSummary;
import org.vanillatrestle.internal.target.Announcement;
import org.vanillatrestle.internal.target.TargetAddress;
import org.vanillatrestle.internal.target.TargetCapacity;
import org.vanillatrestle.internal.target.TargetLoad;
import org.vanillatrestle.internal.target.TargetRegistry;

/**
 * A {@link RequestPolicy} of one VM, with helper methods that announce targets and build
 * requests. Not thread safe.
 */
final class PolicyFixture {

	static final long SECOND_NANOS = 1_000_000_000L;

	static final RegionId HOME = new RegionId("koshi");

	static final ModelName MODEL = new ModelName("sheet-1");

	static final CustomerId CUSTOMER = new CustomerId("himdugdha");

	static final DataCentreId DATA_CENTRE = new DataCentreId("koshi-1");

	final TargetRegistry registry = new TargetRegistry(DATA_CENTRE, 3_600 * SECOND_NANOS);

	final RequestPolicy policy;

	final ContractService service;

	private long sequence;

	PolicyFixture(PolicySettings settings, ContractService service) {
		this.service = service;
		this.policy = new RequestPolicy(settings, HOME, DATA_CENTRE, new VmId("vm-1"), this.registry,
				RandomSource.XO_SHI_RO_256_PP.create(7L), 0);
		this.policy.contractChanged(contract(CUSTOMER), 0);
	}

	PolicyFixture() {
		this(PolicySettings.builder().build(), service().build());
	}

	static ContractService.Builder service() {
		return ContractService.builder(new ServiceName("sheets"), ServiceKind.MODEL)
			.models(Set.of(MODEL))
			.maxRequestsPerSecond(10_000)
			.maxTokensPerSecond(10_000_000)
			.maxInFlight(10_000);
	}

	Contract contract(CustomerId customer) {
		return Contract.builder(customer, 1).allowedRegions(Set.of(HOME)).services(List.of(this.service)).build();
	}

	void announce(String target, int maxRunning, long incarnation, boolean leaving, long nowNanos) {
		this.registry.announce(
				new Announcement(new TargetId(target), DATA_CENTRE, incarnation, ++this.sequence, ServiceKind.MODEL,
						null, new ServiceName("sheets"), Set.of(MODEL), new TargetAddress("127.0.0.1", 1),
						new TargetCapacity(maxRunning, maxRunning * 25L, 100, 0), TargetLoad.IDLE, leaving, false),
				nowNanos);
	}

	PolicyRequest.Builder request(CustomerId customer, RegionId... allowed) {
		return PolicyRequest.builder(customer, this.service)
			.model(MODEL)
			.repeat(Repeat.IDEMPOTENT)
			.promptTokens(200)
			.maxTokens(100)
			.homeRegion(HOME)
			.allowedRegions((allowed.length == 0) ? Set.of(HOME) : Set.of(allowed))
			.deadlineNanos(60 * SECOND_NANOS);
	}

	PolicyRequest request() {
		return request(CUSTOMER).build();
	}

	void updateRegionSummary(String region, int freeSlots, long nowNanos) {
		this.policy.updateRegionSummary(new PoolSummary(new RegionId(region), new DataCentreId(region + "-1"),
				request().pool(), freeSlots, 100, 0, 100, 0), nowNanos);
	}

}
