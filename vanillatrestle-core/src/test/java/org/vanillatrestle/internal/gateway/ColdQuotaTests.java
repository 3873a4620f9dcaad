package org.vanillatrestle.internal.gateway;

import java.util.SortedSet;
import java.util.TreeSet;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.VmId;

import static org.assertj.core.api.Assertions.assertThat;

class ColdQuotaTests {

	private static final ColdQuota QUOTA = new ColdQuota(1.5, 3);

	private static final double WARMUP_PER_SECOND = 2.1;

	private static final double MAX_REQUESTS_PER_SECOND = WARMUP_PER_SECOND * 1.5 + 3;

	@Property
	void shouldDivideTheLimitAmongAllVms(@ForAll @IntRange(min = 1, max = 40) int count, @ForAll int target) {
		SortedSet<VmId> members = vmIds(count);
		int total = members.stream().mapToInt((vm) -> quota(target, vm, members)).sum();
		assertThat(total).isBetween(1, (int) MAX_REQUESTS_PER_SECOND);
	}

	@Property
	void shouldStayWithinTheLimitWhenOneVmDoesNotKnowOneMember(@ForAll @IntRange(min = 3, max = 40) int count,
			@ForAll int target) {
		SortedSet<VmId> members = vmIds(count);
		SortedSet<VmId> fewer = vmIds(count);
		fewer.remove(fewer.last());
		int total = members.stream()
			.mapToInt((vm) -> quota(target, vm, vm.equals(members.first()) ? fewer : members))
			.sum();
		assertThat(total).isLessThanOrEqualTo((int) MAX_REQUESTS_PER_SECOND);
	}

	private static int quota(int target, VmId vm, SortedSet<VmId> members) {
		return QUOTA.quota(WARMUP_PER_SECOND, new TargetId("t" + Math.floorMod(target, 1000)), vm, members);
	}

	private static SortedSet<VmId> vmIds(int count) {
		SortedSet<VmId> vmIds = new TreeSet<>();
		for (int i = 0; i < count; i++) {
			vmIds.add(new VmId("edge-" + i));
		}
		return vmIds;
	}

}
