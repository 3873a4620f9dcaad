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

class LoadNewsTests {

	private static final long LOOK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	private final LoadNews news = new LoadNews(0);

	@Test
	void shouldTellNothingWhileOnlyTheTokensReadFade() {
		FlightLoad load = new FlightLoad(new TargetId("a"), 1, 0, 500, 40_000, 0);
		this.news.told(List.of(load), 0);
		for (int look = 1; look < 5; look++) {
			assertThat(this.news.isDue(List.of(load.fadedBy(look * LOOK_NANOS)), look * LOOK_NANOS)).isFalse();
		}
	}

	@Test
	void shouldTellNothingOnceTheTokensReadOfAnIdleTargetAreForgotten() {
		this.news.told(List.of(new FlightLoad(new TargetId("a"), 0, 0, 0, 1, 0)), 0);
		assertThat(this.news.isDue(List.of(), LOOK_NANOS)).isFalse();
	}

	@Test
	void shouldTellOfARequestThatBeginsAndOfOneThatEnds() {
		FlightLoad one = new FlightLoad(new TargetId("a"), 1, 900, 900, 600, 0);
		assertThat(this.news.isDue(List.of(one), LOOK_NANOS)).isTrue();
		this.news.told(List.of(one), 0);
		assertThat(this.news.isDue(List.of(), LOOK_NANOS)).isTrue();
	}

	@Test
	void shouldTellOfTokensSentThoughAsManyRequestsAreInFlightAsBefore() {
		this.news.told(List.of(new FlightLoad(new TargetId("a"), 1, 0, 500, 100, 0)), 0);
		assertThat(this.news.isDue(List.of(new FlightLoad(new TargetId("a"), 1, 0, 500, 700, 0)), LOOK_NANOS)).isTrue();
	}

	@Test
	void shouldTellOfALongerPause() {
		this.news.told(List.of(new FlightLoad(new TargetId("a"), 1, 0, 500, 0, 100)), 0);
		assertThat(this.news.isDue(List.of(new FlightLoad(new TargetId("a"), 1, 0, 500, 0, 900)), LOOK_NANOS)).isTrue();
	}

	@Test
	void shouldRepeatWhatDoesNotChangeBeforeOthersForgetIt() {
		assertThat(this.news.isDue(List.of(), TimeUnit.MILLISECONDS.toNanos(501))).isTrue();
		this.news.told(List.of(), TimeUnit.MILLISECONDS.toNanos(501));
		assertThat(this.news.isDue(List.of(), TimeUnit.MILLISECONDS.toNanos(700))).isFalse();
	}

	@Property
	void shouldLeaveOthersNoFurtherFromTheTruthThanRounding(@ForAll @IntRange(max = 5) int requests,
			@ForAll @LongRange(max = 200_000) long told, @ForAll @LongRange(max = 200_000) long truth,
			@ForAll @IntRange(max = 499) int millis) {
		long now = TimeUnit.MILLISECONDS.toNanos(millis);
		FlightLoad known = new FlightLoad(new TargetId("a"), requests, 0, 0, told, 0);
		this.news.told(List.of(known), 0);
		if (!this.news.isDue(List.of(known.withReading(truth)), now)) {
			assertThat(known.fadedBy(now).readTokensPerSecond()).isCloseTo(truth, within(1L));
		}
	}

}
