package org.vanillatrestle.internal.gateway;

import java.util.SortedSet;
import java.util.TreeSet;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.VmId;

import static org.assertj.core.api.Assertions.assertThat;

class ColdShareTests {

	private static final ColdShare SHARE = new ColdShare(1.5, 3);

	private static final double WARMUP_PER_SECOND = 2.1;

	private static final double BOUND = WARMUP_PER_SECOND * 1.5 + 3;

	@Property
	void shouldDivideTheBoundAmongAllVms(@ForAll @IntRange(min = 1, max = 40) int count, @ForAll int target) {
		SortedSet<VmId> members = vms(count);
		int total = members.stream().mapToInt((vm) -> part(target, vm, members)).sum();
		assertThat(total).isBetween(1, (int) BOUND);
	}

	@Property
	void shouldStayWithinTheBoundWhenOneVmKnowsOneMemberLess(@ForAll @IntRange(min = 3, max = 40) int count,
			@ForAll int target) {
		SortedSet<VmId> members = vms(count);
		SortedSet<VmId> fewer = vms(count);
		fewer.remove(fewer.last());
		int total = members.stream()
			.mapToInt((vm) -> part(target, vm, vm.equals(members.first()) ? fewer : members))
			.sum();
		assertThat(total).isLessThanOrEqualTo((int) BOUND);
	}

	private static int part(int target, VmId vm, SortedSet<VmId> members) {
		return SHARE.part(WARMUP_PER_SECOND, new TargetId("t" + Math.floorMod(target, 1000)), vm, members);
	}

	private static SortedSet<VmId> vms(int count) {
		SortedSet<VmId> vms = new TreeSet<>();
		for (int i = 0; i < count; i++) {
			vms.add(new VmId("edge-" + i));
		}
		return vms;
	}

}
