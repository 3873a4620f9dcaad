package org.vanillatrestle.internal.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs random sequences of faults in a simulated data centre. Guards against views that
 * still differ after all links are restored: each running VM must then see exactly the
 * running VMs as alive.
 */
class MembershipFuzzTests {

	private static final int VM_COUNT = 5;

	private static final int CONVERGENCE_SECONDS = 25;

	@Property(seed = "4711", tries = 150)
	void shouldConvergeAfterLinksAreRestored(@ForAll("steps") List<Step> steps, @ForAll long seed) {
		SimulatedDataCentre dataCentre = new SimulatedDataCentre(VM_COUNT, seed);
		Set<Integer> running = new HashSet<>(Set.of(0, 1, 2, 3, 4));
		long incarnation = 2;
		for (Step step : steps) {
			apply(dataCentre, running, step, incarnation++);
			dataCentre.run(step.seconds());
		}
		dataCentre.restoreLinks();
		dataCentre.run(CONVERGENCE_SECONDS);
		assertThat(dataCentre.viewsMatch(running)).as("views agree on %s", running).isTrue();
	}

	@Property(seed = "4712", tries = 60)
	void shouldNeverDeclareVmDeadUnderMessageLoss(@ForAll long seed) {
		SimulatedDataCentre dataCentre = new SimulatedDataCentre(VM_COUNT, seed);
		dataCentre.run(5);
		dataCentre.events.clear();
		dataCentre.setLossRate(0.2);
		dataCentre.run(300);
		assertThat(dataCentre.events).noneMatch((event) -> event.contains("DIED"));
	}

	@Provide
	Arbitrary<List<Step>> steps() {
		Arbitrary<Integer> index = Arbitraries.integers().between(0, VM_COUNT - 1);
		Arbitrary<Integer> seconds = Arbitraries.integers().between(0, 30);
		return Combinators.combine(Arbitraries.of(Kind.values()), index, index, seconds)
			.as(Step::new)
			.list()
			.ofMaxSize(12);
	}

	private void apply(SimulatedDataCentre dataCentre, Set<Integer> running, Step step, long incarnation) {
		int index = step.index();
		switch (step.kind()) {
			case CUT_ONE_WAY -> dataCentre.cutLinks.add(index + ">" + step.other());
			case ISOLATE -> dataCentre.isolate(index);
			case LOSE -> dataCentre.setLossRate(0.3);
			case HEAL -> dataCentre.restoreLinks();
			case STOP -> {
				dataCentre.stopped.add(index);
				running.remove(index);
			}
			case LEAVE -> {
				dataCentre.views.get(index).leave(dataCentre.nowNanos);
				dataCentre.stopped.add(index);
				running.remove(index);
			}
			case START -> {
				dataCentre.start(index, incarnation);
				running.add(index);
			}
			default -> dataCentre.views.get(index).linkLost(SimulatedDataCentre.vm(step.other()), dataCentre.nowNanos);
		}
	}

	/**
	 * The kinds of fault and repair.
	 */
	enum Kind {

		CUT_ONE_WAY, ISOLATE, LOSE, HEAL, STOP, LEAVE, START, LOSE_LINK

	}

	/**
	 * A fault or repair and the time that passes after it, in seconds.
	 */
	record Step(Kind kind, int index, int other, int seconds) {

	}

}
