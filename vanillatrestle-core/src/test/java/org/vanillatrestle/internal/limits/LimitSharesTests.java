package org.vanillatrestle.internal.limits;

import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.vanillatrestle.VmId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests {@link LimitShares} in a simulation of several VMs. The tested invariant is that
 * the shares of all VMs never exceed the contract's limit in total.
 */
class LimitSharesTests {

	private static final long SECOND_NANOS = LimitSimulation.SECOND_NANOS;

	@Property(seed = "5", tries = 60)
	void shouldNeverExceedTheLimitAcrossAllVms(@ForAll long seed) {
		LimitSimulation simulation = new LimitSimulation(seed, 2, true);
		Random random = simulation.random();
		List<VmId> vms = simulation.vmIds();

		for (int i = 0; i < 150; i++) {
			VmId vm = vms.get(random.nextInt(vms.size()));
			switch (random.nextInt(8)) {
				case 0 -> simulation.setLinkCut(random.nextInt(2), 2, random.nextBoolean());
				case 1 -> simulation.setLinkCut(0, 1, random.nextBoolean());
				case 2 -> restartSometimes(simulation, vm);
				default -> simulation.setDemand(vm, random.nextInt(150), random.nextInt(50));
			}
			simulation.run(SECOND_NANOS / 4 + random.nextInt(1_000_000_000));

			assertThat(simulation.usableMilliRequests())
				.isLessThanOrEqualTo(LimitSimulation.REQUESTS_PER_SECOND * 1_000);
			assertThat(simulation.usableTokens()).isLessThanOrEqualTo(LimitSimulation.REQUESTS_PER_SECOND * 100);
			assertThat(simulation.inFlight()).isLessThanOrEqualTo(LimitSimulation.IN_FLIGHT);
		}
	}

	/**
	 * Guards against exceeding the limit of requests in flight when a borrower attributes
	 * requests to a loan that its lender has already stopped reserving.
	 */
	@Test
	void shouldNotAttributeRequestsToAnExpiredLoan() {
		shouldNeverExceedTheLimitAcrossAllVms(8826170625676L);
	}

	@Test
	void shouldServeNinetyPercentOfTheLimitUnderTenfoldSkewWhileLinksAreUp() {
		LimitSimulation simulation = new LimitSimulation(1, 2, false);
		List<VmId> vms = simulation.vmIds();
		double requestsPerSecondPerUnit = LimitSimulation.REQUESTS_PER_SECOND / 24.0;

		for (int i = 0; i < vms.size(); i++) {
			simulation.setDemand(vms.get(i), (i < 2) ? 10 * requestsPerSecondPerUnit : requestsPerSecondPerUnit, 4);
		}
		simulation.run(20 * SECOND_NANOS);

		assertThat(simulation.servedPerSecond()).isGreaterThanOrEqualTo(0.9 * LimitSimulation.REQUESTS_PER_SECOND);
	}

	@Test
	void shouldMoveLoansToAnotherRegionWhenDemandMoves() {
		LimitSimulation simulation = new LimitSimulation(2, 2, false);
		List<VmId> vms = simulation.vmIds();
		simulation.setDemand(vms.get(0), 100, 4);
		simulation.run(20 * SECOND_NANOS);

		simulation.setDemand(vms.get(0), 5, 1);
		simulation.setDemand(vms.get(5), 95, 4);
		simulation.run(15 * SECOND_NANOS);

		assertThat(simulation.servedPerSecond()).isGreaterThanOrEqualTo(90);
	}

	@Test
	void shouldUseOwnSharesWhenRegionsAreDisconnected() {
		LimitSimulation simulation = new LimitSimulation(3, 2, false);
		List<VmId> vms = simulation.vmIds();
		simulation.setDemand(vms.get(0), 100, 4);
		simulation.run(20 * SECOND_NANOS);
		simulation.setLinkCut(0, 1, true);
		simulation.setLinkCut(0, 2, true);

		vms.forEach((vm) -> simulation.setDemand(vm, 100, 4));
		simulation.run(20 * SECOND_NANOS);

		assertThat(simulation.servedPerSecond()).isGreaterThanOrEqualTo(0.95 * LimitSimulation.REQUESTS_PER_SECOND);
	}

	@Test
	void shouldNotExceedTheLimitWhenRequestsInFlightOutlastALoan() {
		for (long seed = 0; seed < 20; seed++) {
			LimitSimulation simulation = new LimitSimulation(seed, 2, false);
			List<VmId> vms = simulation.vmIds();
			simulation.setDemand(vms.get(0), 10, LimitSimulation.IN_FLIGHT);
			simulation.run(15 * SECOND_NANOS);
			simulation.setLinkCut(0, 1, true);
			simulation.setLinkCut(0, 2, true);
			vms.forEach((vm) -> simulation.setDemand(vm, 10, LimitSimulation.IN_FLIGHT));

			for (int i = 0; i < 300; i++) {
				simulation.run(SECOND_NANOS / 20);
				assertThat(simulation.inFlight()).isLessThanOrEqualTo(LimitSimulation.IN_FLIGHT);
			}
		}
	}

	@Test
	void shouldUseTheWholeOwnShareAfterARestartOnceAllVmsHaveAnswered() {
		LimitSimulation simulation = new LimitSimulation(4, 2, false);
		VmId vm = simulation.vmIds().get(0);
		simulation.run(5 * SECOND_NANOS);

		simulation.restart(vm);
		simulation.setDemand(vm, 20, 4);
		simulation.run(2 * SECOND_NANOS);

		assertThat(simulation.servedPerSecond()).isGreaterThanOrEqualTo(19);
	}

	private static void restartSometimes(LimitSimulation simulation, VmId vm) {
		if (simulation.random().nextInt(4) == 0) {
			simulation.restart(vm);
		}
	}

}
