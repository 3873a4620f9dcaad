package org.vanillatrestle.daemon.internal.gateway;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.channel.DefaultEventLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.vanillatrestle.daemon.internal.http.ConnectionListener;

import static org.assertj.core.api.Assertions.assertThat;

class HeldRequestsTests {

	private static final long LONG_WAIT_MILLIS = 60_000;

	private final DefaultEventLoop loop = new DefaultEventLoop();

	private final HeldRequests heldRequests = new HeldRequests(this.loop);

	private final List<String> events = Collections.synchronizedList(new ArrayList<>());

	@AfterEach
	void shutDownLoop() {
		this.loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
	}

	private ConnectionListener hold(String name, long maxWaitMillis) throws Exception {
		return this.loop.submit(() -> this.heldRequests.hold(maxWaitMillis, (arrivedNanos) -> {
			assertThat(arrivedNanos).isLessThanOrEqualTo(System.nanoTime());
			this.events.add(name + " served");
			return new ConnectionListener() {

				@Override
				public void disconnected() {
					HeldRequestsTests.this.events.add(name + " gone");
				}

				@Override
				public void writabilityChanged() {
					HeldRequestsTests.this.events.add(name + " writable");
				}

			};
		}, () -> this.events.add(name + " refused"))).get();
	}

	private void runOnLoop(Runnable task) throws Exception {
		this.loop.submit(task).get();
	}

	@Test
	void shouldServeHeldRequestsInArrivalOrder() throws Exception {
		hold("first", LONG_WAIT_MILLIS);
		hold("second", LONG_WAIT_MILLIS);
		runOnLoop(this.heldRequests::serveAll);
		runOnLoop(this.heldRequests::serveAll);
		assertThat(this.events).containsExactly("first served", "second served");
	}

	@Test
	void shouldRefuseARequestOnceWhenItsWaitExpires() throws Exception {
		hold("first", 20);
		TimeUnit.MILLISECONDS.sleep(200);
		runOnLoop(this.heldRequests::serveAll);
		assertThat(this.events).containsExactly("first refused");
	}

	@Test
	void shouldDropARequestWhoseCallerDisconnects() throws Exception {
		ConnectionListener listener = hold("first", 50);
		runOnLoop(listener::disconnected);
		TimeUnit.MILLISECONDS.sleep(200);
		runOnLoop(this.heldRequests::serveAll);
		assertThat(this.events).isEmpty();
	}

	@Test
	void shouldPassConnectionEventsToTheServedRequest() throws Exception {
		ConnectionListener listener = hold("first", LONG_WAIT_MILLIS);
		runOnLoop(listener::writabilityChanged);
		runOnLoop(this.heldRequests::serveAll);
		runOnLoop(listener::writabilityChanged);
		runOnLoop(listener::disconnected);
		assertThat(this.events).containsExactly("first served", "first writable", "first gone");
	}

	@Test
	void shouldLimitTheNumberOfHeldRequests() throws Exception {
		int held = 0;
		while (!this.heldRequests.isFull()) {
			hold("one of many", LONG_WAIT_MILLIS);
			held++;
		}
		assertThat(held).isEqualTo(256);
		runOnLoop(this.heldRequests::serveAll);
		assertThat(this.heldRequests.isFull()).isFalse();
		assertThat(this.events).hasSize(256);
	}

}
