package org.vanillatrestle.daemon.internal.gateway;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import org.vanillatrestle.daemon.internal.http.ConnectionListener;

/**
 * Requests that wait for the first declaration, in the order in which they came.
 * <p>
 * Invariants: each is served or refused once, or its caller has gone; no more than
 * {@link #MAX_HELD} wait. Used on the VM's event loop.
 */
final class HeldRequests {

	/**
	 * The most requests held: a second of a region's traffic at one VM, with bodies of
	 * some 12 KB each.
	 */
	private static final int MAX_HELD = 256;

	private final EventLoop loop;

	private final Set<HeldRequest> held = new LinkedHashSet<>();

	HeldRequests(EventLoop loop) {
		this.loop = loop;
	}

	boolean isFull() {
		return this.held.size() >= MAX_HELD;
	}

	/**
	 * Holds a request.
	 * @param millis for how long at most
	 * @param serve serves it, given the time at which it came
	 * @param refuse refuses it
	 * @return the listener of its connection
	 */
	ConnectionListener hold(long millis, LongFunction<ConnectionListener> serve, Runnable refuse) {
		HeldRequest call = new HeldRequest(serve, refuse);
		this.held.add(call);
		call.timer = this.loop.schedule(call::expire, millis, TimeUnit.MILLISECONDS);
		return call;
	}

	/**
	 * Serves all requests held.
	 */
	void serveAll() {
		List<HeldRequest> calls = List.copyOf(this.held);
		this.held.clear();
		calls.forEach(HeldRequest::serve);
	}

	private final class HeldRequest implements ConnectionListener {

		private final long arrivedNanos = System.nanoTime();

		private final LongFunction<ConnectionListener> serve;

		private final Runnable refuse;

		private Future<?> timer;

		private ConnectionListener served;

		HeldRequest(LongFunction<ConnectionListener> serve, Runnable refuse) {
			this.serve = serve;
			this.refuse = refuse;
		}

		private void serve() {
			this.timer.cancel(false);
			this.served = this.serve.apply(this.arrivedNanos);
		}

		private void expire() {
			if (HeldRequests.this.held.remove(this)) {
				this.refuse.run();
			}
		}

		@Override
		public void gone() {
			if (HeldRequests.this.held.remove(this)) {
				this.timer.cancel(false);
			}
			else if (this.served != null) {
				this.served.gone();
			}
		}

		@Override
		public void writabilityChanged() {
			if (this.served != null) {
				this.served.writabilityChanged();
			}
		}

	}

}
