package org.vanillatrestle.bench.internal.standin;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoop;
import org.vanillatrestle.bench.internal.http.HttpServer;

/**
 * A running stand-in target of either kind: its server, its announcements and its load
 * reports.
 * <p>
 * Thread safe. The target's state lives on the server's event loop. Closing it stops
 * announcements and closes every connection.
 */
public final class StandInTarget implements AutoCloseable {

	private static final long SAMPLE_MILLIS = 100;

	private static final long DRAIN_POLL_MILLIS = 20;

	private final StandInControl control;

	private final HttpServer server;

	private final Supplier<LoadReport> load;

	private final LoadHistory history;

	private volatile LoadReport currentLoad = LoadReport.IDLE;

	private volatile LoadReport reportedLoad = LoadReport.IDLE;

	private StandInTarget(StandInControl control, HttpServer server, Supplier<LoadReport> load, long loadLagMillis) {
		this.control = control;
		this.server = server;
		this.load = load;
		this.history = new LoadHistory(TimeUnit.MILLISECONDS.toNanos(loadLagMillis));
	}

	/**
	 * Starts a target.
	 * @param place where it listens and what it announces
	 * @param control its controls
	 * @param handlers makes the handler of one connection
	 * @param load gives its load; called on the event loop
	 * @param loadLagMillis by how much load reports lag
	 * @return the running target
	 * @throws IOException if the port can't be opened
	 */
	public static StandInTarget start(StandInPlace place, StandInControl control, Supplier<ChannelHandler> handlers,
			Supplier<LoadReport> load, long loadLagMillis) throws IOException {
		HttpServer server = HttpServer.start(place.host(), place.port(), handlers);
		StandInTarget target = new StandInTarget(control, server, load, loadLagMillis);
		control.announcer(new Announcer(place.profile(), place.host(), server.port(), () -> target.reportedLoad));
		EventLoop loop = server.eventLoop();
		loop.scheduleAtFixedRate(target::sample, 0, SAMPLE_MILLIS, TimeUnit.MILLISECONDS);
		control.announcer().start(loop);
		return target;
	}

	private void sample() {
		long nowNanos = System.nanoTime();
		this.currentLoad = this.load.get();
		this.history.add(nowNanos, this.currentLoad);
		this.reportedLoad = this.history.at(nowNanos);
	}

	/**
	 * Returns the port in use.
	 * @return the port, never 0
	 */
	public int port() {
		return this.server.port();
	}

	/**
	 * Returns the runs since the start.
	 * @return a copy of the run log
	 */
	public List<Run> runs() {
		return this.control.runs().runs();
	}

	/**
	 * Puts a fault in force.
	 * @param fault the fault
	 */
	public void fault(Fault fault) {
		this.control.faults().set(fault);
	}

	/**
	 * Returns the announcer.
	 * @return the announcer
	 */
	public Announcer announcer() {
		return this.control.announcer();
	}

	/**
	 * Leaves: announces it, waits until nothing runs, and closes.
	 * @param maxMillis the longest to wait
	 * @throws InterruptedException if the wait is interrupted
	 */
	public void leave(long maxMillis) throws InterruptedException {
		announcer().leave();
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(maxMillis);
		Thread.sleep(Math.min(maxMillis, 2 * SAMPLE_MILLIS));
		while (isBusy() && System.nanoTime() - deadlineNanos < 0) {
			Thread.sleep(DRAIN_POLL_MILLIS);
		}
		close();
	}

	private boolean isBusy() {
		return this.currentLoad.running() + this.currentLoad.queued() > 0;
	}

	@Override
	public void close() {
		announcer().close();
		this.server.close();
	}

}
