package org.vanillatrestle.internal.admission;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TokenBucketTests {

	@Test
	void shouldSpaceRequestsEvenlyAndSaveNoneUp() {
		TokenBucket bucket = TokenBucket.pacing(0);
		bucket.updateRate(5, 0);
		assertThat(bucket.tryConsume(1, 0)).isFalse();
		int consumed = 0;
		for (int millis = 10_000; millis < 12_000; millis++) {
			consumed += bucket.tryConsume(1, TimeUnit.MILLISECONDS.toNanos(millis)) ? 1 : 0;
		}
		assertThat(consumed).isEqualTo(10);
	}

	@Test
	void shouldGiveNothingAtARateOfZeroWhateverIsLeft() {
		TokenBucket bucket = TokenBucket.pacing(0);
		bucket.updateRate(1, 0);
		long laterNanos = TimeUnit.SECONDS.toNanos(10);
		bucket.updateRate(0, laterNanos);
		assertThat(bucket.tryConsume(1, laterNanos)).isFalse();
	}

}
