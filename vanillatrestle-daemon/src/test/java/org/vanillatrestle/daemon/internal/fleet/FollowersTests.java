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
	void shouldKeepVmWhileItRepeatsItsRequest() {
		this.followers.update(FIRST, true, 0);
		this.followers.update(SECOND, true, 0);
		this.followers.update(FIRST, true, TimeUnit.SECONDS.toNanos(2));
		assertThat(this.followers.currentFollowers(TimeUnit.SECONDS.toNanos(3))).containsExactly(FIRST);
	}

	@Test
	void shouldRemoveVmThatFollowsAnotherControlVm() {
		this.followers.update(FIRST, true, 0);
		this.followers.update(FIRST, false, 1);
		assertThat(this.followers.currentFollowers(2)).isEmpty();
	}

	@Test
	void shouldFollowTheTwoNearestControlVms() {
		assertThat(IntStream.range(0, 6).filter(Followers::isFollowedRank)).containsExactly(0, 1);
	}

	@Test
	void shouldSendThreeHeartbeatsToNonFollowersBeforeSilentVmCountsAsLost() {
		long heartbeatMillis = 250;
		long lostMillis = 1_600;
		assertThat(LongStream.range(0, lostMillis / heartbeatMillis).filter(Followers::isSentToNonFollowers))
			.hasSizeGreaterThanOrEqualTo(3);
	}

}
