package org.vanillatrestle.internal.limits;

import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.vanillatrestle.VmId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * {@link LimitShares} against the oracle that all VMs together never exceed the limit.
 */
class LimitSharesTests {

	private static final long SECOND_NANOS = LimitWorld.SECOND_NANOS;

	@Property(seed = "5", tries = 60)
	void shouldNeverExceedTheLimitTogether(@ForAll long seed) {
		LimitWorld world = new LimitWorld(seed, 2, true);
		Random random = world.random();
		List<VmId> vms = world.vmIds();

		for (int i = 0; i < 150; i++) {
			VmId vm = vms.get(random.nextInt(vms.size()));
			switch (random.nextInt(8)) {
				case 0 -> world.cut(random.nextInt(2), 2, random.nextBoolean());
				case 1 -> world.cut(0, 1, random.nextBoolean());
				case 2 -> restartSometimes(world, vm);
				default -> world.demand(vm, random.nextInt(150), random.nextInt(50));
			}
			world.run(SECOND_NANOS / 4 + random.nextInt(1_000_000_000));

			assertThat(world.usableMilliRequests()).isLessThanOrEqualTo(LimitWorld.REQUESTS_PER_SECOND * 1_000);
			assertThat(world.usableTokens()).isLessThanOrEqualTo(LimitWorld.REQUESTS_PER_SECOND * 100);
			assertThat(world.inFlight()).isLessThanOrEqualTo(LimitWorld.IN_FLIGHT);
		}
	}

	/**
	 * Requests in flight were put down to a loan that its lender did not count any more.
	 */
	@Test
	void shouldNotPutRequestsDownToALoanThatIsOver() {
		shouldNeverExceedTheLimitTogether(8826170625676L);
	}

	@Test
	void shouldServeNineTenthsUnderTenfoldSkewWhileLinksAreUp() {
		LimitWorld world = new LimitWorld(1, 2, false);
		List<VmId> vms = world.vmIds();
		double unit = LimitWorld.REQUESTS_PER_SECOND / 24.0;

		for (int i = 0; i < vms.size(); i++) {
			world.demand(vms.get(i), (i < 2) ? 10 * unit : unit, 4);
		}
		world.run(20 * SECOND_NANOS);

		assertThat(world.servedPerSecond()).isGreaterThanOrEqualTo(0.9 * LimitWorld.REQUESTS_PER_SECOND);
	}

	@Test
	void shouldFollowDemandToAnotherRegion() {
		LimitWorld world = new LimitWorld(2, 2, false);
		List<VmId> vms = world.vmIds();
		world.demand(vms.get(0), 100, 4);
		world.run(20 * SECOND_NANOS);

		world.demand(vms.get(0), 5, 1);
		world.demand(vms.get(5), 95, 4);
		world.run(15 * SECOND_NANOS);

		assertThat(world.servedPerSecond()).isGreaterThanOrEqualTo(90);
	}

	@Test
	void shouldKeepOwnShareWhenCutOff() {
		LimitWorld world = new LimitWorld(3, 2, false);
		List<VmId> vms = world.vmIds();
		world.demand(vms.get(0), 100, 4);
		world.run(20 * SECOND_NANOS);
		world.cut(0, 1, true);
		world.cut(0, 2, true);

		vms.forEach((vm) -> world.demand(vm, 100, 4));
		world.run(20 * SECOND_NANOS);

		assertThat(world.servedPerSecond()).isGreaterThanOrEqualTo(0.95 * LimitWorld.REQUESTS_PER_SECOND);
	}

	@Test
	void shouldNotReuseRequestsInFlightThatOutlastALoan() {
		for (long seed = 0; seed < 20; seed++) {
			LimitWorld world = new LimitWorld(seed, 2, false);
			List<VmId> vms = world.vmIds();
			world.demand(vms.get(0), 10, LimitWorld.IN_FLIGHT);
			world.run(15 * SECOND_NANOS);
			world.cut(0, 1, true);
			world.cut(0, 2, true);
			vms.forEach((vm) -> world.demand(vm, 10, LimitWorld.IN_FLIGHT));

			for (int i = 0; i < 300; i++) {
				world.run(SECOND_NANOS / 20);
				assertThat(world.inFlight()).isLessThanOrEqualTo(LimitWorld.IN_FLIGHT);
			}
		}
	}

	@Test
	void shouldLetARestartedVmUseItsShareOnceOthersAnswered() {
		LimitWorld world = new LimitWorld(4, 2, false);
		VmId vm = world.vmIds().get(0);
		world.run(5 * SECOND_NANOS);

		world.restart(vm);
		world.demand(vm, 20, 4);
		world.run(2 * SECOND_NANOS);

		assertThat(world.servedPerSecond()).isGreaterThanOrEqualTo(19);
	}

	private static void restartSometimes(LimitWorld world, VmId vm) {
		if (world.random().nextInt(4) == 0) {
			world.restart(vm);
		}
	}

}
