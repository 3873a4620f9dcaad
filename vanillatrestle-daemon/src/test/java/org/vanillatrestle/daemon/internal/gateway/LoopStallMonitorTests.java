package org.vanillatrestle.daemon.internal.gateway;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LoopStallMonitorTests {

	private long nowNanos = TimeUnit.SECONDS.toNanos(100);

	private final LoopStallMonitor monitor = new LoopStallMonitor(() -> this.nowNanos);

	@Test
	void shouldNoticeNothingWhileTheLoopRuns() {
		for (int i = 0; i < 50; i++) {
			pass(100);
			assertThat(this.monitor.hasStalledRecently()).isFalse();
			this.monitor.tick();
		}
	}

	// guards against an order of before a freeze that is taken for a new one, because it
	// is read before or after the first tick
	@Test
	void shouldNoticeAFreezeBeforeAndAfterTheFirstTick() {
		pass(1_150);
		assertThat(this.monitor.hasStalledRecently()).isTrue();
		this.monitor.tick();
		assertThat(this.monitor.hasStalledRecently()).isTrue();
		for (int i = 0; i < 10; i++) {
			pass(100);
			this.monitor.tick();
		}
		assertThat(this.monitor.hasStalledRecently()).isFalse();
	}

	private void pass(long millis) {
		this.nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
	}

}
