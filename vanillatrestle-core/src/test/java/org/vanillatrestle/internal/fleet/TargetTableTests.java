package org.vanillatrestle.internal.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.ServiceName;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.internal.target.TargetAddress;

import static org.assertj.core.api.Assertions.assertThat;

class TargetTableTests {

	private final TargetTable table = new TargetTable();

	@Test
	void shouldReturnOnlyChanges() {
		assertThat(this.table.merge(report("a", 1, 1, TargetCondition.READY, 80), 0)).hasSize(1);
		assertThat(this.table.merge(report("a", 1, 2, TargetCondition.READY, 80), 0)).isEmpty();
		assertThat(this.table.merge(report("a", 1, 3, TargetCondition.DRAINING, 80), 0)).hasSize(1);
	}

	@Test
	void shouldIgnoreLateReport() {
		this.table.merge(report("a", 1, 5, TargetCondition.DRAINING, 80), 0);
		assertThat(this.table.merge(report("a", 1, 4, TargetCondition.READY, 80), 0)).isEmpty();
		assertThat(condition("a")).isEqualTo(TargetCondition.DRAINING);
	}

	@Test
	void shouldNotReviveGoneIncarnation() {
		this.table.merge(report("a", 1, 5, TargetCondition.READY, 80), 0);
		this.table.markGone(new TargetId("a"), 0);
		assertThat(this.table.merge(report("a", 1, 6, TargetCondition.READY, 80), 0)).isEmpty();
		assertThat(condition("a")).isEqualTo(TargetCondition.GONE);
	}

	@Test
	void shouldNotReturnDrainingIncarnationToReady() {
		this.table.merge(report("a", 1, 5, TargetCondition.DRAINING, 80), 0);
		assertThat(this.table.merge(report("a", 1, 6, TargetCondition.READY, 80), 0)).isEmpty();
		assertThat(condition("a")).isEqualTo(TargetCondition.DRAINING);
	}

	@Test
	void shouldAcceptDrainingFromReportWithOlderSequence() {
		this.table.merge(report("a", 1, 5, TargetCondition.READY, 80), 0);
		assertThat(this.table.merge(report("a", 1, 2, TargetCondition.DRAINING, 80), 0)).hasSize(1);
		assertThat(this.table.find(new TargetId("a")).orElseThrow().sequence()).isEqualTo(5);
		this.table.merge(report("a", 1, 4, TargetCondition.READY, 80), 0);
		assertThat(condition("a")).isEqualTo(TargetCondition.DRAINING);
	}

	@Test
	void shouldAcceptNewIncarnationOfSameTarget() {
		this.table.merge(report("a", 1, 500, TargetCondition.READY, 80), 0);
		this.table.markGone(new TargetId("a"), 0);
		assertThat(this.table.merge(report("a", 2, 1, TargetCondition.READY, 80), 0)).hasSize(1);
		assertThat(condition("a")).isEqualTo(TargetCondition.READY);
	}

	@Test
	void shouldAssignAddressToTargetStartedLast() {
		this.table.merge(report("old", 1, 9, TargetCondition.READY, 80), 0);
		List<TargetReport> changes = this.table.merge(report("new", 2, 1, TargetCondition.READY, 80), 0);
		assertThat(changes).extracting(TargetReport::condition)
			.containsExactly(TargetCondition.GONE, TargetCondition.READY);
		assertThat(condition("old")).isEqualTo(TargetCondition.GONE);
	}

	@Test
	void shouldNotReassignAddressOnLateReport() {
		this.table.merge(report("new", 2, 1, TargetCondition.READY, 80), 0);
		this.table.merge(report("old", 1, 9, TargetCondition.READY, 80), 0);
		assertThat(condition("old")).isEqualTo(TargetCondition.GONE);
		assertThat(condition("new")).isEqualTo(TargetCondition.READY);
	}

	@Test
	void shouldKeepGoneTargetForRetentionPeriod() {
		this.table.merge(report("a", 1, 5, TargetCondition.GONE, 80), 0);
		assertThat(this.table.reports(60_000_000_000L)).hasSize(1);
		assertThat(this.table.reports(600_000_000_000L)).isEmpty();
	}

	@Test
	void shouldCountDownRemainingWarmUpTime() {
		this.table.merge(report("a", 1, 1, TargetCondition.READY, 80).withWarmUpRemaining(3_000), 0);
		assertThat(this.table.reports(1_000_000_000L)).extracting(TargetReport::warmUpRemainingMillis)
			.containsExactly(2_000L);
		assertThat(this.table.merge(report("a", 1, 2, TargetCondition.READY, 80), 4_000_000_000L)).isEmpty();
	}

	@Test
	void shouldKeepTheLimitStatedInAnswersThroughReportsOfTheTarget() {
		this.table.merge(report("a", 1, 1, TargetCondition.READY, 80), 0);
		assertThat(this.table.changeLimit(new TargetId("a"), 1, 2, 0)).isPresent();
		assertThat(this.table.changeLimit(new TargetId("a"), 1, 2, 0)).as("known already").isEmpty();
		this.table.merge(report("a", 1, 2, TargetCondition.READY, 80), 0);
		this.table.merge(report("a", 1, 3, TargetCondition.DRAINING, 80), 0);
		assertThat(limit("a")).isEqualTo(2);
		this.table.merge(report("a", 2, 1, TargetCondition.READY, 80), 0);
		assertThat(limit("a")).isInfinite();
		assertThat(this.table.changeLimit(new TargetId("a"), 1, 2, 0)).as("a former incarnation").isEmpty();
	}

	@Test
	void shouldAcceptTheLaterLimitFromAReportWithOlderSequence() {
		this.table.merge(report("a", 1, 5, TargetCondition.READY, 80), 0);
		TargetReport limited = report("a", 1, 2, TargetCondition.READY, 80).withLimit(new RequestLimit(3, 1));
		assertThat(this.table.merge(limited, 0)).hasSize(1);
		assertThat(this.table.find(new TargetId("a")).orElseThrow().sequence()).isEqualTo(5);
		assertThat(this.table.merge(limited.withLimit(new RequestLimit(2, 9)), 0)).isEmpty();
		assertThat(this.table.merge(limited.withLimit(new RequestLimit(3, 9)), 0)).as("read at the same time")
			.isEmpty();
		assertThat(limit("a")).isEqualTo(1);
	}

	private double limit(String name) {
		return this.table.find(new TargetId(name)).orElseThrow().limit().requestsPerSecond();
	}

	@Property
	void shouldConvergeForAnyOrderOfReports(@ForAll long seed) {
		Random random = new Random(seed);
		List<TargetReport> reports = new ArrayList<>();
		for (int started = 1; started <= 4; started++) {
			for (int sequence = 1; sequence <= 4; sequence++) {
				TargetCondition condition = TargetCondition.values()[(sequence == 4) ? random.nextInt(3) : 0];
				RequestLimit limit = (random.nextInt(3) == 0)
						? new RequestLimit(1 + random.nextInt(3), random.nextInt(3)) : RequestLimit.NONE;
				reports.add(
						report("t" + (started % 2), started, sequence, condition, 80 + (started % 2)).withLimit(limit));
			}
		}
		List<TargetReport> shuffled = new ArrayList<>(reports);
		Collections.shuffle(shuffled, random);
		TargetTable inOrder = new TargetTable();
		TargetTable other = new TargetTable();
		reports.forEach((report) -> inOrder.merge(report, 0));
		shuffled.forEach((report) -> other.merge(report, 0));
		assertThat(other.reports(0)).containsExactlyInAnyOrderElementsOf(inOrder.reports(0));
	}

	private TargetCondition condition(String name) {
		return this.table.find(new TargetId(name)).orElseThrow().condition();
	}

	private static TargetReport report(String name, long started, long sequence, TargetCondition condition, int port) {
		return new TargetReport(new TargetId(name), started, sequence, new ServiceName("model"),
				new TargetAddress("127.0.0.1", port), new DataCentreId("koshi-a"), 64, condition, 0);
	}

}
