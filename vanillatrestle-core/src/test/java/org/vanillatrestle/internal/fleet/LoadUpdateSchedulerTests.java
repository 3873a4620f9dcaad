package org.vanillatrestle.internal.fleet;

import java.util.List;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.vanillatrestle.TargetId;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class LoadUpdateSchedulerTests {

	private static final long CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	private final LoadUpdateScheduler scheduler = new LoadUpdateScheduler(0);

	@Test
	void shouldNotSendWhileOnlyPromptRateDecays() {
		InFlightLoad load = new InFlightLoad(new TargetId("a"), 1, 0, 500, 40_000, 0);
		this.scheduler.recordSent(List.of(load), 0);
		for (int check = 1; check < 5; check++) {
			assertThat(this.scheduler.isDue(List.of(load.decayedBy(check * CHECK_INTERVAL_NANOS)),
					check * CHECK_INTERVAL_NANOS))
				.isFalse();
		}
	}

	@Test
	void shouldNotSendWhenPromptRateOfIdleTargetIsDropped() {
		this.scheduler.recordSent(List.of(new InFlightLoad(new TargetId("a"), 0, 0, 0, 1, 0)), 0);
		assertThat(this.scheduler.isDue(List.of(), CHECK_INTERVAL_NANOS)).isFalse();
	}

	@Test
	void shouldSendWhenRequestStartsAndWhenItEnds() {
		InFlightLoad one = new InFlightLoad(new TargetId("a"), 1, 900, 900, 600, 0);
		assertThat(this.scheduler.isDue(List.of(one), CHECK_INTERVAL_NANOS)).isTrue();
		this.scheduler.recordSent(List.of(one), 0);
		assertThat(this.scheduler.isDue(List.of(), CHECK_INTERVAL_NANOS)).isTrue();
	}

	@Test
	void shouldSendWhenPromptRateGrowsWithUnchangedRequestCount() {
		this.scheduler.recordSent(List.of(new InFlightLoad(new TargetId("a"), 1, 0, 500, 100, 0)), 0);
		assertThat(this.scheduler.isDue(List.of(new InFlightLoad(new TargetId("a"), 1, 0, 500, 700, 0)),
				CHECK_INTERVAL_NANOS))
			.isTrue();
	}

	@Test
	void shouldSendWhenLongestPauseGrows() {
		this.scheduler.recordSent(List.of(new InFlightLoad(new TargetId("a"), 1, 0, 500, 0, 100)), 0);
		assertThat(this.scheduler.isDue(List.of(new InFlightLoad(new TargetId("a"), 1, 0, 500, 0, 900)),
				CHECK_INTERVAL_NANOS))
			.isTrue();
	}

	@Test
	void shouldRepeatUnchangedLoadBeforeReceiversDiscardIt() {
		assertThat(this.scheduler.isDue(List.of(), TimeUnit.MILLISECONDS.toNanos(501))).isTrue();
		this.scheduler.recordSent(List.of(), TimeUnit.MILLISECONDS.toNanos(501));
		assertThat(this.scheduler.isDue(List.of(), TimeUnit.MILLISECONDS.toNanos(700))).isFalse();
	}

	@Property
	void shouldKeepReceiversWithinRoundingErrorOfActualRate(@ForAll @IntRange(max = 5) int requests,
			@ForAll @LongRange(max = 200_000) long sentRate, @ForAll @LongRange(max = 200_000) long actualRate,
			@ForAll @IntRange(max = 499) int millis) {
		long now = TimeUnit.MILLISECONDS.toNanos(millis);
		InFlightLoad known = new InFlightLoad(new TargetId("a"), requests, 0, 0, sentRate, 0);
		this.scheduler.recordSent(List.of(known), 0);
		if (!this.scheduler.isDue(List.of(known.withPromptRate(actualRate)), now)) {
			assertThat(known.decayedBy(now).promptTokensPerSecond()).isCloseTo(actualRate, within(1L));
		}
	}

}
