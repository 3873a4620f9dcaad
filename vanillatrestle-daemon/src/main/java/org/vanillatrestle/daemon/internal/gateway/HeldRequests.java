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
 * Holds requests that wait for the first declaration, in order of arrival.
 * <p>
 * Invariants: each request is served or refused once, unless its caller disconnects
 * first; at most {@link #MAX_HELD_REQUESTS} requests are held. Used only on the VM's
 * event loop.
 */
final class HeldRequests {

	/**
	 * Maximum number of held requests: one second of a region's traffic at one VM, with
	 * bodies of about 12 KB each.
	 */
	private static final int MAX_HELD_REQUESTS = 256;

	private final EventLoop loop;

	private final Set<HeldRequest> waiting = new LinkedHashSet<>();

	HeldRequests(EventLoop loop) {
		this.loop = loop;
	}

	boolean isFull() {
		return this.waiting.size() >= MAX_HELD_REQUESTS;
	}

	/**
	 * Holds a request until {@link #serveAll} is called or its maximum wait expires.
	 * @param maxWaitMillis the maximum time to hold the request
	 * @param serve serves the request, given its arrival time on the monotonic clock
	 * @param refuse refuses the request
	 * @return the listener for the request's connection
	 */
	ConnectionListener hold(long maxWaitMillis, LongFunction<ConnectionListener> serve, Runnable refuse) {
		HeldRequest request = new HeldRequest(serve, refuse);
		this.waiting.add(request);
		request.timer = this.loop.schedule(request::expire, maxWaitMillis, TimeUnit.MILLISECONDS);
		return request;
	}

	/**
	 * Serves all held requests in order of arrival.
	 */
	void serveAll() {
		List<HeldRequest> requests = List.copyOf(this.waiting);
		this.waiting.clear();
		requests.forEach(HeldRequest::serve);
	}

	private final class HeldRequest implements ConnectionListener {

		private final long arrivedNanos = System.nanoTime();

		private final LongFunction<ConnectionListener> serve;

		private final Runnable refuse;

		private Future<?> timer;

		private ConnectionListener servedListener;

		HeldRequest(LongFunction<ConnectionListener> serve, Runnable refuse) {
			this.serve = serve;
			this.refuse = refuse;
		}

		private void serve() {
			this.timer.cancel(false);
			this.servedListener = this.serve.apply(this.arrivedNanos);
		}

		private void expire() {
			if (HeldRequests.this.waiting.remove(this)) {
				this.refuse.run();
			}
		}

		@Override
		public void disconnected() {
			if (HeldRequests.this.waiting.remove(this)) {
				this.timer.cancel(false);
			}
			else if (this.servedListener != null) {
				this.servedListener.disconnected();
			}
		}

		@Override
		public void writabilityChanged() {
			if (this.servedListener != null) {
				this.servedListener.writabilityChanged();
			}
		}

	}

}
