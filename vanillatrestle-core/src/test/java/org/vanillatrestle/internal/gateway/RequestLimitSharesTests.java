package org.vanillatrestle.internal.gateway;

import java.util.SortedSet;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.VmId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The sum of all VMs' shares. The bound is that of the platform's rule: in 4 s, one and a
 * half times the limit and 5 requests.
 */
class RequestLimitSharesTests {

	private static final TargetId TARGET = new TargetId("i-1");

	private static final double WINDOW_SECONDS = 4;

	private static final long LATER_NANOS = TimeUnit.SECONDS.toNanos(10);

	@Property
	void shouldDivideNoMoreThanTheLimit(@ForAll @IntRange(min = 1, max = 60) int count,
			@ForAll @DoubleRange(min = 0.1, max = 500) double limit, @ForAll int target) {
		SortedSet<VmId> members = vms(0, count);
		double total = members.stream().mapToDouble((vm) -> share(vm, members, target, limit)).sum();
		assertThat(total).isBetween(0.5 * limit, limit);
	}

	@Property
	void shouldKeepTheBoundWhenARegionIsCutIntoTwoGroupsOfVms(@ForAll @IntRange(min = 1, max = 40) int first,
			@ForAll @IntRange(min = 1, max = 40) int second, @ForAll @DoubleRange(min = 0, max = 500) double limit,
			@ForAll int target) {
		SortedSet<VmId> region = vms(0, first + second);
		long sent = mostSent(region, vms(0, first), target, limit)
				+ mostSent(region, vms(first, second), target, limit);
		assertThat((double) sent).isLessThanOrEqualTo(1.5 * limit * WINDOW_SECONDS + 5);
	}

	private static long mostSent(SortedSet<VmId> region, SortedSet<VmId> group, int target, double limit) {
		return group.stream()
			.mapToDouble((vm) -> share(vm, region, group, target, limit))
			.filter((share) -> share > 0)
			.mapToLong((share) -> 1 + (long) (share * WINDOW_SECONDS))
			.sum();
	}

	@Test
	void shouldHaveNoShareBeforeTheOthersCanKnowOfThisVm() {
		RequestLimitShares shares = new RequestLimitShares(new VmId("edge-0"));
		assertThat(shares.requestsPerSecond(TARGET, 10, LATER_NANOS)).isZero();
		shares.setMembers(vms(0, 2), LATER_NANOS);
		assertThat(shares.requestsPerSecond(TARGET, 10, LATER_NANOS + TimeUnit.SECONDS.toNanos(1))).isZero();
		assertThat(shares.requestsPerSecond(TARGET, 10, LATER_NANOS + TimeUnit.SECONDS.toNanos(2))).isPositive();
	}

	@Test
	void shouldKeepItsShareWhenNoControlVmKnowsOfItAnyMore() {
		RequestLimitShares shares = new RequestLimitShares(new VmId("edge-0"));
		shares.setMembers(vms(0, 3), 0);
		double before = shares.requestsPerSecond(TARGET, 10, LATER_NANOS);
		shares.setMembers(new TreeSet<>(), LATER_NANOS);
		assertThat(shares.requestsPerSecond(TARGET, 10, LATER_NANOS)).isEqualTo(before);
	}

	@Property
	void shouldLeaveATargetThatTakesNothingARequestNowAndThen(@ForAll @IntRange(min = 1, max = 60) int count) {
		SortedSet<VmId> members = vms(0, count);
		assertThat(members.stream().mapToDouble((vm) -> share(vm, members, 1, 0)).sum()).isBetween(0.05, 0.1);
	}

	private static double share(VmId vm, SortedSet<VmId> members, int target, double limit) {
		return share(vm, members, members, target, limit);
	}

	private static double share(VmId vm, SortedSet<VmId> before, SortedSet<VmId> members, int target, double limit) {
		RequestLimitShares shares = new RequestLimitShares(vm);
		shares.setMembers(before, 0);
		shares.setMembers(members, 0);
		return shares.requestsPerSecond(new TargetId("t" + Math.floorMod(target, 1000)), limit, LATER_NANOS);
	}

	private static SortedSet<VmId> vms(int from, int count) {
		SortedSet<VmId> vms = new TreeSet<>();
		for (int i = from; i < from + count; i++) {
			vms.add(new VmId("edge-" + i));
		}
		return vms;
	}

}
