package org.vanillatrestle.internal.gateway;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.VmId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates VMs that share a budget while they start, restart and lose sight of each
 * other, while callers come in waves and move from one VM to another, and while retries
 * wait for targets. Guards against arrivals of retries beyond the bound, summed over all
 * VMs.
 */
class RetryBudgetFleetTests {

	private static final ServiceName SERVICE = new ServiceName("model");

	private static final double RATIO = 0.2;

	private static final double ALLOWANCE = 56;

	private static final long MILLI_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

	private static final int WINDOW_MILLIS = 10_000;

	private static final int DAY_MILLIS = 60_000;

	private static final int BEAT_MILLIS = 250;

	/**
	 * How long a VM counts after it was last heard of.
	 */
	private static final int RETENTION_MILLIS = 6_000;

	private static final int MAX_RETRIES = 3;

	/**
	 * How long a retry may wait for a target, as long as callers of streams do.
	 */
	private static final int MAX_ARRIVAL_MILLIS = 8_000;

	private static final int POLL_MILLIS = 25;

	private static final int DATA_CENTRES = 3;

	@Property(tries = 100, shrinking = ShrinkingMode.OFF)
	void shouldStayWithinTheBoundWhileVmsComeAndGo(@ForAll long seed) {
		Fleet fleet = new Fleet(new Random(seed));
		for (int millis = 0; millis < DAY_MILLIS; millis++) {
			fleet.advance(millis);
		}
		Arrays.parallelPrefix(fleet.requests, Integer::sum);
		Arrays.parallelPrefix(fleet.retries, Integer::sum);
		for (int millis = 0; millis < DAY_MILLIS; millis++) {
			fleet.assertBoundIsKept(millis);
		}
	}

	/**
	 * One VM, which may end and start again.
	 */
	private static final class Vm {

		private final Map<VmId, Integer> heardMillis = new HashMap<>();

		private final VmId id;

		private final int dataCentre;

		private RetryBudget budget;

		private int upFromMillis;

		// VMs of different groups don't hear of each other
		private int group;

		private double load = 1;

		Vm(int number, int dataCentre) {
			this.id = new VmId("vm-" + number);
			this.dataCentre = dataCentre;
		}

		void start(int millis) {
			this.budget = new RetryBudget(this.id, RATIO, ALLOWANCE, WINDOW_MILLIS * MILLI_NANOS, DATA_CENTRES,
					millis == 0);
			this.upFromMillis = millis;
			this.heardMillis.clear();
		}

		void hear(List<Vm> vms, int millis) {
			vms.stream()
				.filter((vm) -> vm.dataCentre == this.dataCentre && vm.group == this.group && vm.upFromMillis <= millis)
				.forEach((vm) -> this.heardMillis.put(vm.id, millis));
			this.heardMillis.values().removeIf((heard) -> millis - heard > RETENTION_MILLIS);
			this.budget.setMembers(new TreeSet<>(this.heardMillis.keySet()), millis * MILLI_NANOS);
		}

	}

	/**
	 * A retry that waits for a target.
	 */
	private record Retry(RetryBudget budget, int grantedMillis) {
	}

	/**
	 * All VMs, their callers and what is counted of them.
	 */
	private static final class Fleet {

		private final Random random;

		private final List<Vm> vms = new ArrayList<>();

		// the counts of each millisecond, then the sums until its end
		private final int[] requests = new int[DAY_MILLIS + 1];

		private final int[] retries = new int[DAY_MILLIS + 1];

		// by the millisecond in which they are sent
		private final Map<Integer, List<Retry>> waiting = new HashMap<>();

		private double requestsPerMilli;

		private double rejectedShare;

		Fleet(Random random) {
			this.random = random;
			changeLoad(0.02 + 0.2 * random.nextDouble());
			for (int i = 1 + random.nextInt(8); i > 0; i--) {
				join(0);
			}
		}

		private void changeLoad(double newRequestsPerMilli) {
			this.requestsPerMilli = newRequestsPerMilli;
		}

		private void join(int millis) {
			this.vms.add(new Vm(this.vms.size(), this.random.nextInt(DATA_CENTRES)));
			this.vms.get(this.vms.size() - 1).start(millis);
		}

		private Vm any() {
			return this.vms.get(this.random.nextInt(this.vms.size()));
		}

		private Vm called() {
			Vm vm = any();
			return (this.random.nextDouble() < vm.load) ? vm : called();
		}

		void advance(int millis) {
			if (this.random.nextInt(1_500) == 0) {
				disturb(millis);
			}
			if (millis % BEAT_MILLIS == 0) {
				this.vms.stream().filter((vm) -> vm.upFromMillis < millis).forEach((vm) -> vm.hear(this.vms, millis));
			}
			if (this.random.nextDouble() < this.requestsPerMilli) {
				this.requests[millis + 1]++;
				request(called(), millis);
			}
			List<Retry> due = this.waiting.remove(millis);
			if (due != null) {
				due.forEach((retry) -> send(retry, millis));
			}
		}

		private void disturb(int millis) {
			switch (this.random.nextInt(9)) {
				case 0 -> any().start(millis + this.random.nextInt(3_000));
				case 1 -> this.vms.forEach((vm) -> vm.start(millis + this.random.nextInt(1_000)));
				case 2 -> join(millis);
				case 3 -> this.vms.forEach((vm) -> vm.group = this.random.nextInt(3));
				case 4 -> this.vms.forEach((vm) -> vm.group = 0);
				case 5 -> this.vms.forEach((vm) -> vm.load = Math.max(0.05, this.random.nextInt(3) / 2.0));
				case 6 -> changeLoad(0.2 * this.random.nextDouble());
				case 7 -> changeLoad(0.002);
				default -> reject(this.random.nextBoolean() ? 0.9 : 0.05);
			}
		}

		private void reject(double share) {
			this.rejectedShare = share;
		}

		private void request(Vm vm, int millis) {
			if (vm.upFromMillis > millis) {
				return;
			}
			long nowNanos = millis * MILLI_NANOS;
			vm.budget.recordRequest(SERVICE, nowNanos);
			for (int i = 0; i < MAX_RETRIES && this.random.nextDouble() < this.rejectedShare
					&& vm.budget.tryRetry(SERVICE, RetryBudget.Purpose.BEGUN_ANSWER, nowNanos); i++) {
				await(new Retry(vm.budget, millis), millis + 1 + this.random.nextInt(MAX_ARRIVAL_MILLIS));
			}
		}

		private void await(Retry retry, int millis) {
			this.waiting.computeIfAbsent(millis, (key) -> new ArrayList<>()).add(retry);
		}

		private void send(Retry retry, int millis) {
			boolean isLost = this.vms.stream().noneMatch((vm) -> vm.budget == retry.budget);
			if (isLost || millis - retry.grantedMillis > MAX_ARRIVAL_MILLIS) {
				return;
			}
			if (retry.budget
				.tryRenew(SERVICE, RetryBudget.Purpose.BEGUN_ANSWER, retry.grantedMillis * MILLI_NANOS,
						millis * MILLI_NANOS)
				.isEmpty()) {
				await(retry, millis + POLL_MILLIS);
				return;
			}
			this.retries[millis + 1]++;
		}

		// requests are counted in the window, the one before it or the one half a window
		// before it
		void assertBoundIsKept(int startMillis) {
			int counted = Math.max(count(this.requests, startMillis),
					Math.max(count(this.requests, startMillis - WINDOW_MILLIS / 2),
							count(this.requests, startMillis - WINDOW_MILLIS)));
			assertThat((double) count(this.retries, startMillis)).as("retries for %d requests", counted)
				.isLessThanOrEqualTo(RATIO * counted + ALLOWANCE);
		}

		private static int count(int[] counts, int startMillis) {
			return counts[Math.min(DAY_MILLIS, Math.max(0, startMillis + WINDOW_MILLIS))]
					- counts[Math.max(0, startMillis)];
		}

	}

}
