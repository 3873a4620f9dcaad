package org.vanillatrestle.daemon.internal.http;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.channel.EventLoop;
import org.vanillatrestle.daemon.internal.logging.EventKind;
import org.vanillatrestle.daemon.internal.logging.EventLog;

/**
 * Ends the servers of a VM without losing requests.
 * <p>
 * Invariant: whether all requests have ended is checked on the event loop together with
 * closing the servers, so that no request is served in between. What is in progress when
 * the time is up is answered with an error, or is cut if its answer has begun. Must not
 * be called on the event loop.
 */
public final class ServerDrain {

	private static final long POLL_MILLIS = 10;

	/**
	 * Maximum time for the last answers to be written and for peers to close.
	 */
	private static final long LAST_WRITES_MILLIS = 300;

	private final EventLoop loop;

	private final List<HttpServer> servers;

	private final ServerStop stop = new ServerStop();

	private boolean stopped;

	/**
	 * Creates the drain.
	 * @param loop the event loop of the servers
	 * @param servers the servers to end
	 */
	public ServerDrain(EventLoop loop, List<HttpServer> servers) {
		this.loop = loop;
		this.servers = List.copyOf(servers);
	}

	/**
	 * Serves until no request is in progress, then closes the servers.
	 * @param minMillis the minimum time to serve, in milliseconds
	 * @param maxMillis the time after which to end the requests that are still in
	 * progress, in milliseconds
	 */
	public void run(long minMillis, long maxMillis) {
		long startNanos = System.nanoTime();
		this.servers.forEach(HttpServer::startShutdown);
		try {
			await(Math.min(minMillis, maxMillis), () -> false);
			await(maxMillis - elapsedMillis(startNanos), () -> stop(false));
			stop(true);
			await(LAST_WRITES_MILLIS, () -> this.servers.stream().allMatch((server) -> server.connectionCount() == 0));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		EventLog.write(EventKind.DRAINED, "millis", elapsedMillis(startNanos), "requestsEnded",
				this.stop.requestsEnded(), "answersUnwritten", this.stop.answersUnwritten(), "answersCut",
				activeRequestCount());
	}

	private static void await(long maxMillis, BooleanSupplier isDone) throws InterruptedException {
		long startNanos = System.nanoTime();
		while (!isDone.getAsBoolean()) {
			long leftMillis = maxMillis - elapsedMillis(startNanos);
			if (leftMillis <= 0) {
				return;
			}
			TimeUnit.MILLISECONDS.sleep(Math.min(POLL_MILLIS, leftMillis));
		}
	}

	private static long elapsedMillis(long startNanos) {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
	}

	private boolean stop(boolean timeIsUp) {
		return Boolean.TRUE.equals(this.loop.submit(() -> {
			if (!this.stopped && (timeIsUp || activeRequestCount() == 0)) {
				this.stopped = true;
				this.servers.forEach((server) -> server.stop(this.stop));
			}
			return this.stopped;
		}).awaitUninterruptibly().getNow());
	}

	private int activeRequestCount() {
		return this.servers.stream().mapToInt(HttpServer::activeRequestCount).sum();
	}

}
