package org.vanillatrestle.internal.membership;

import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the membership protocol within a simulated data centre.
 */
class MembershipTests {

	@Test
	void shouldDiscoverAllVmsThroughOneSeed() {
		SimulatedDataCentre dataCentre = new SimulatedDataCentre(6, 1);
		dataCentre.run(5);
		assertThat(dataCentre.viewsMatch(Set.of(0, 1, 2, 3, 4, 5))).isTrue();
		dataCentre.run(60);
		assertThat(dataCentre.views.get(5).presentMembers()).extracting(MemberRecord::address)
			.containsExactly("host:0", "host:1", "host:2", "host:3", "host:4");
	}

	@Test
	void shouldSuspectBeforeDeclaringDead() {
		SimulatedDataCentre dataCentre = new SimulatedDataCentre(4, 2);
		dataCentre.run(5);
		dataCentre.events.clear();
		dataCentre.stopped.add(3);
		dataCentre.run(20);
		assertThat(dataCentre.viewsMatch(Set.of(0, 1, 2))).isTrue();
		for (int i = 0; i < 3; i++) {
			String name = i + " ";
			assertThat(dataCentre.events.stream().filter((event) -> event.startsWith(name)))
				.containsExactly(i + " SUSPECTED vm-3", i + " DIED vm-3");
		}
	}

	@Test
	void shouldSuspectOnLinkLossAndClearOnNewerHeartbeat() {
		SimulatedDataCentre dataCentre = new SimulatedDataCentre(4, 3);
		dataCentre.run(5);
		dataCentre.views.get(0).linkLost(SimulatedDataCentre.vm(2), dataCentre.nowNanos);
		assertThat(dataCentre.seesAlive(0, 2)).isFalse();
		dataCentre.run(5);
		assertThat(dataCentre.viewsMatch(Set.of(0, 1, 2, 3))).isTrue();
	}

	@Test
	void shouldNotSuspectVmWhoseHeartbeatsArriveThroughOthers() {
		SimulatedDataCentre dataCentre = new SimulatedDataCentre(5, 4);
		dataCentre.run(5);
		dataCentre.events.clear();
		dataCentre.cutLinks.add("4>0");
		dataCentre.run(120);
		assertThat(dataCentre.events).isEmpty();
	}

	@Test
	void shouldLearnOfLeavingVmWithinOneSecond() {
		SimulatedDataCentre dataCentre = new SimulatedDataCentre(8, 5);
		dataCentre.run(5);
		dataCentre.events.clear();
		dataCentre.views.get(7).leave(dataCentre.nowNanos);
		dataCentre.run(1);
		assertThat(dataCentre.events).hasSize(7).allMatch((event) -> event.endsWith("LEFT vm-7"));
	}

	@Test
	void shouldRejoinAfterLongIsolation() {
		SimulatedDataCentre dataCentre = new SimulatedDataCentre(5, 6);
		dataCentre.run(5);
		dataCentre.isolate(4);
		dataCentre.run(1_200);
		assertThat(dataCentre.viewsMatch(Set.of(0, 1, 2, 3))).isTrue();
		assertThat(dataCentre.views.get(4).presentMembers()).isEmpty();
		dataCentre.events.clear();
		dataCentre.restoreLinks();
		dataCentre.run(5);
		assertThat(dataCentre.viewsMatch(Set.of(0, 1, 2, 3, 4))).isTrue();
		assertThat(dataCentre.events).allMatch((event) -> event.contains("JOINED"));
	}

	@Test
	void shouldRaiseIncarnationAfterRestartWithLowerOne() {
		SimulatedDataCentre dataCentre = new SimulatedDataCentre(3, 7);
		dataCentre.start(2, 50);
		dataCentre.linkUp(0, 2);
		dataCentre.run(5);
		dataCentre.start(2, 10);
		dataCentre.linkUp(0, 2);
		dataCentre.run(5);
		assertThat(dataCentre.viewsMatch(Set.of(0, 1, 2))).isTrue();
		assertThat(dataCentre.views.get(2).self().incarnation()).isGreaterThan(50);
	}

	@Test
	void shouldChooseSameVmEverywhereAndReassignOnlyKeysOfLeavingVm() {
		SimulatedDataCentre dataCentre = new SimulatedDataCentre(5, 8);
		dataCentre.run(5);
		Membership first = dataCentre.views.get(0);
		String[] before = new String[50];
		for (int i = 0; i < before.length; i++) {
			before[i] = first.responsibleFor("dc-" + i).value();
			assertThat(dataCentre.views.get(3).responsibleFor("dc-" + i).value()).isEqualTo(before[i]);
		}
		dataCentre.views.get(4).leave(dataCentre.nowNanos);
		dataCentre.run(1);
		for (int i = 0; i < before.length; i++) {
			String after = first.responsibleFor("dc-" + i).value();
			assertThat(after.equals(before[i]) || before[i].equals("vm-4")).isTrue();
		}
	}

}
