package org.vanillatrestle.daemon.internal.fleet;

import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;
import org.vanillatrestle.VmId;

import static org.assertj.core.api.Assertions.assertThat;

class FollowersTests {

	private static final VmId FIRST = new VmId("edge-1");

	private static final VmId SECOND = new VmId("edge-2");

	private final Followers followers = new Followers();

	@Test
	void shouldKeepAVmAsLongAsItAsks() {
		this.followers.told(FIRST, true, 0);
		this.followers.told(SECOND, true, 0);
		this.followers.told(FIRST, true, TimeUnit.SECONDS.toNanos(2));
		assertThat(this.followers.fresh(TimeUnit.SECONDS.toNanos(3))).containsExactly(FIRST);
	}

	@Test
	void shouldDropAVmThatFollowsAnother() {
		this.followers.told(FIRST, true, 0);
		this.followers.told(FIRST, false, 1);
		assertThat(this.followers.fresh(2)).isEmpty();
	}

	@Test
	void shouldFollowTheTwoNearestControlVms() {
		assertThat(IntStream.range(0, 6).filter(Followers::follows)).containsExactly(0, 1);
	}

	@Test
	void shouldExchangeThreeBeatsWithOthersBeforeASilentVmCountsAsLost() {
		long heartbeatMillis = 250;
		long lostMillis = 1_600;
		assertThat(LongStream.range(0, lostMillis / heartbeatMillis).filter(Followers::isTurnOfOthers))
			.hasSizeGreaterThanOrEqualTo(3);
	}

}
