package org.vanillatrestle.internal.fleet;

import java.util.List;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StateTimelineTests {

	private static final int RETENTION_SECONDS = 60;

	private final StateTimeline timeline = new StateTimeline();

	@Test
	void shouldReportNoLagForLatestState() {
		this.timeline.add(5, seconds(1));
		assertThat(this.timeline.lagNanos(5, seconds(9))).isZero();
		assertThat(this.timeline.lagNanos(6, seconds(9))).isZero();
	}

	@Test
	void shouldMeasureLagFromOldestMissingState() {
		this.timeline.add(5, seconds(1));
		this.timeline.add(6, seconds(3));
		this.timeline.add(8, seconds(4));
		assertThat(this.timeline.lagNanos(5, seconds(9))).isEqualTo(seconds(6));
		assertThat(this.timeline.lagNanos(7, seconds(9))).isEqualTo(seconds(5));
	}

	@Test
	void shouldIgnoreStateThatIsKnown() {
		this.timeline.add(5, seconds(1));
		this.timeline.add(5, seconds(3));
		this.timeline.add(4, seconds(4));
		assertThat(this.timeline.latestIndex()).isEqualTo(5);
		assertThat(this.timeline.lagNanos(0, seconds(9))).isEqualTo(seconds(8));
	}

	@Property(seed = "51")
	void shouldNeverReportSmallerLagWhileStatesAreAdded(
			@ForAll @Size(min = 1, max = 60) List<@IntRange(min = 1, max = 5_000) Integer> gapsMillis) {
		StateTimeline changing = new StateTimeline();
		long nowNanos = 0;
		long leastNanos = 0;
		for (int i = 0; i < gapsMillis.size(); i++) {
			changing.add(i + 1, nowNanos);
			nowNanos += TimeUnit.MILLISECONDS.toNanos(gapsMillis.get(i));
			long lagNanos = changing.lagNanos(0, nowNanos);
			assertThat(lagNanos).isGreaterThanOrEqualTo(leastNanos);
			leastNanos = Math.min(lagNanos, seconds(RETENTION_SECONDS));
		}
	}

	private static long seconds(int seconds) {
		return TimeUnit.SECONDS.toNanos(seconds);
	}

}
