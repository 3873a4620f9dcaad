package org.vanillatrestle.internal.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.declaration.DeclaredService;
import org.vanillatrestle.internal.fleet.RequestLimit;
import org.vanillatrestle.internal.fleet.TargetCondition;
import org.vanillatrestle.internal.fleet.TargetReport;
import org.vanillatrestle.internal.fleet.TargetTable;
import org.vanillatrestle.internal.target.TargetAddress;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Entry VMs that press on one target that states a limit, in simulated time. Guards
 * against the sum of their requests exceeding the limit: while VMs restart and join,
 * don't hear of each other, or learn late of the limit.
 */
class TargetLimitTests {

	private static final DataCentreId DATA_CENTRE = new DataCentreId("koshi-a");

	private static final DeclaredService PLAIN = new DeclaredService(new ServiceName("plain"), "/health", 100, 0, 0,
			Optional.empty());

	private static final TargetReport TARGET = new TargetReport(new TargetId("i-1"), 1, 1, PLAIN.name(),
			new TargetAddress("127.0.0.1", 80), DATA_CENTRE, 64, TargetCondition.READY, 0);

	private static final RequestShape SHAPE = new RequestShape(PLAIN, 0, 0, List.of(), 800, 0.8);

	private static final int STEP_MILLIS = 10;

	private static final int DAY_MILLIS = 30_000;

	private static final int STEPS_PER_DISTURBANCE = 200;

	private static final int MAX_SENDS_PER_STEP = 3;

	private static final int WINDOW_MILLIS = 4_000;

	private static final int CONTACT_MILLIS = 6_000;

	private static final int SLOW_ANSWER_MILLIS = 600;

	private static final int NEWS_MILLIS = 250;

	private final List<Vm> vms = new ArrayList<>();

	private List<TargetTable> controlVms = List.of(new TargetTable(), new TargetTable());

	private final List<Integer> arrivals = new ArrayList<>();

	private UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(7);

	private double limit;

	@Property(tries = 60, seed = "11317", shrinking = ShrinkingMode.OFF)
	void shouldKeepTheLimitThroughRestartsJoinsAndVmsThatDoNotHearOfEachOther(@ForAll long seed,
			@ForAll @IntRange(min = 1, max = 12) int vmCount, @ForAll @IntRange(min = 0, max = 200) int tenths) {
		this.random = RandomSource.SPLIT_MIX_64.create(seed);
		this.limit = tenths / 10.0;
		reset();
		for (int i = 0; i < vmCount; i++) {
			this.vms.add(new Vm(i, 0, 0));
		}
		for (int millis = 0; millis < DAY_MILLIS; millis += STEP_MILLIS) {
			if (this.random.nextInt(STEPS_PER_DISTURBANCE) == 0) {
				disturb(millis);
			}
			step(millis);
		}
		assertThat(largestWindow()).isLessThanOrEqualTo(1.5 * this.limit * WINDOW_MILLIS / 1_000 + 5);
	}

	// all tries of a property share one instance
	private void reset() {
		this.controlVms = List.of(new TargetTable(), new TargetTable());
		this.vms.clear();
		this.arrivals.clear();
	}

	private void disturb(int millis) {
		Vm vm = this.vms.get(this.random.nextInt(this.vms.size()));
		switch (this.random.nextInt(4)) {
			case 0 -> this.vms.set(this.vms.indexOf(vm), new Vm(vm.number, vm.side, millis));
			case 1 -> this.vms.add(new Vm(this.vms.size(), vm.side, millis));
			case 2 -> vm.changeSide();
			default -> vm.freezeUntil(millis + this.random.nextInt(3_000));
		}
	}

	private void step(int millis) {
		if (millis % NEWS_MILLIS == 0) {
			exchange(millis);
		}
		for (Vm vm : this.vms) {
			for (int i = 0; i < MAX_SENDS_PER_STEP && millis >= vm.frozenUntilMillis; i++) {
				vm.send(millis);
			}
		}
	}

	// VMs hear of each other, and of limits, through the control VM of their side
	private void exchange(int millis) {
		for (Vm vm : this.vms) {
			vm.table.reports(0).forEach((report) -> this.controlVms.get(vm.side).merge(report, 0));
		}
		for (Vm vm : this.vms) {
			vm.learn(millis);
			vm.setMembers(this.vms.stream().filter((other) -> other.side == vm.side).toList(), millis);
		}
	}

	private double largestWindow() {
		int most = 0;
		int first = 0;
		List<Integer> counted = this.arrivals.stream().filter((millis) -> millis >= CONTACT_MILLIS).toList();
		for (int i = 0; i < counted.size(); i++) {
			while (counted.get(i) - counted.get(first) >= WINDOW_MILLIS) {
				first++;
			}
			most = Math.max(most, i - first + 1);
		}
		return most;
	}

	@Test
	void shouldUseMostOfALimit() {
		this.limit = 10;
		for (int i = 0; i < 3; i++) {
			this.vms.add(new Vm(i, 0, 0));
		}
		for (int millis = 0; millis < 20_000; millis += STEP_MILLIS) {
			step(millis);
		}
		assertThat(largestWindow()).isBetween(0.6 * this.limit * WINDOW_MILLIS / 1_000,
				this.limit * WINDOW_MILLIS / 1_000);
	}

	@Test
	void shouldSendAsBeforeOnceAnAnswerStatesNoLimit() {
		this.limit = 1;
		this.vms.add(new Vm(0, 0, 0));
		run(0, 8_000);
		this.limit = Double.POSITIVE_INFINITY;
		run(8_000, 14_000);
		assertThat(this.arrivals.stream().filter((millis) -> millis >= 13_000).count()).isGreaterThan(100);
	}

	@Test
	void shouldKeepTheLimitWhenAllVmsHaveRestartedAndTheTargetAnswersSlowly() {
		this.limit = 1;
		this.controlVms.forEach((control) -> control.merge(TARGET, 0));
		for (int i = 0; i < 3; i++) {
			this.vms.add(new Vm(i, 0, 0));
		}
		Map<InFlightRequest, Vm> unanswered = new HashMap<>();
		for (int millis = 0; millis < SLOW_ANSWER_MILLIS; millis += STEP_MILLIS) {
			int now = millis;
			if (now % NEWS_MILLIS == 0) {
				exchange(now);
			}
			this.vms.forEach((vm) -> vm.begin(now).ifPresent((request) -> unanswered.put(request, vm)));
		}
		assertThat(unanswered.size()).isEqualTo(3);
		unanswered.forEach((request, vm) -> vm.state(request, this.limit, SLOW_ANSWER_MILLIS));
		exchange(SLOW_ANSWER_MILLIS);
		run(SLOW_ANSWER_MILLIS, SLOW_ANSWER_MILLIS + WINDOW_MILLIS);
		assertThat(unanswered.size() + this.arrivals.size()).isLessThanOrEqualTo(11);
	}

	@Test
	void shouldSendFreelyAfterARestartOnceAnyVmHasHadAnAnswer() {
		this.limit = Double.POSITIVE_INFINITY;
		Vm first = new Vm(0, 0, 0);
		this.vms.add(first);
		first.send(0);
		Vm restarted = new Vm(1, 0, 0);
		this.vms.add(restarted);
		exchange(NEWS_MILLIS);
		for (int i = 0; i < 10; i++) {
			assertThat(restarted.begin(NEWS_MILLIS)).isPresent();
		}
	}

	private void run(int fromMillis, int untilMillis) {
		for (int millis = fromMillis; millis < untilMillis; millis += STEP_MILLIS) {
			step(millis);
		}
	}

	@Test
	void shouldNotLiftALimitForAnAnswerThatAnEarlierOneOvertook() {
		this.controlVms.get(0).merge(TARGET.withLimit(new RequestLimit(1, Double.POSITIVE_INFINITY)), 0);
		Vm vm = new Vm(0, 0, 0);
		InFlightRequest slow = vm.begin(0).orElseThrow();
		InFlightRequest limited = vm.begin(0).orElseThrow();
		vm.state(limited, 1, 10);
		vm.state(slow, Double.POSITIVE_INFINITY, 20);
		assertThat(vm.table.reports(0)).extracting((report) -> report.limit().requestsPerSecond()).containsExactly(1.0);
	}

	@Test
	void shouldTellTheTimeAtWhichItsShareIsOpenAgainAndOtherRegionsOfNoRoom() {
		this.controlVms.get(0).merge(TARGET.withLimit(new RequestLimit(1, 1)), 0);
		Vm vm = new Vm(0, 0, 0);
		vm.setMembers(List.of(vm), 0);
		assertThat(vm.targets.chooseForRemote(PLAIN, 800, nanos(5_000))).isEmpty();
		assertThat(vm.begin(10_000)).isPresent();
		assertThat(vm.begin(10_100)).isEmpty();
		assertThat(vm.targets.reopensInMillis(PLAIN, nanos(10_100)).orElseThrow()).isBetween(1_200L, 1_500L);
	}

	private static long nanos(int millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

	/**
	 * An entry VM with what it knows of the target.
	 */
	private final class Vm {

		private static final int RETENTION_MILLIS = 6_000;

		private final int number;

		private final TargetTable table = new TargetTable();

		private final GatewayTargets targets;

		private final Map<VmId, Integer> heardMillis = new HashMap<>();

		private int side;

		private int frozenUntilMillis;

		Vm(int number, int side, int startedMillis) {
			this.number = number;
			this.side = side;
			this.targets = new GatewayTargets(id(), DATA_CENTRE, new ColdQuota(1.5, 3), TargetLimitTests.this.random);
			TargetLimitTests.this.controlVms.get(side).merge(TARGET, 0);
			learn(startedMillis);
		}

		void changeSide() {
			this.side = 1 - this.side;
		}

		void freezeUntil(int millis) {
			this.frozenUntilMillis = millis;
		}

		private VmId id() {
			return new VmId("edge-" + this.number);
		}

		void learn(int millis) {
			TargetLimitTests.this.controlVms.get(this.side)
				.reports(0)
				.forEach((report) -> this.table.merge(report, 0)
					.forEach((changed) -> this.targets.update(changed, nanos(millis))));
		}

		void setMembers(List<Vm> heard, int millis) {
			heard.forEach((vm) -> this.heardMillis.put(vm.id(), millis));
			this.heardMillis.values().removeIf(isOlderThan(millis - RETENTION_MILLIS));
			SortedSet<VmId> members = new TreeSet<>(this.heardMillis.keySet());
			this.targets.setRegionEntries(members, nanos(millis));
		}

		private static Predicate<Integer> isOlderThan(int millis) {
			return (heard) -> heard < millis;
		}

		Optional<InFlightRequest> begin(int millis) {
			return this.targets.choose(SHAPE, Set.of(), nanos(millis))
				.map((choice) -> this.targets.begin(choice, SHAPE, nanos(millis)));
		}

		void send(int millis) {
			begin(millis).ifPresent((request) -> {
				TargetLimitTests.this.arrivals.add(millis);
				state(request, TargetLimitTests.this.limit, millis + 1);
				request.answered(nanos(millis + 1));
			});
		}

		void state(InFlightRequest request, double stated, int millis) {
			if (request.limitStated(stated, nanos(millis))) {
				this.table.changeLimit(TARGET.target(), TARGET.startedMillis(), stated, nanos(millis))
					.ifPresent((changed) -> this.targets.update(changed, nanos(millis)));
			}
		}

	}

}
