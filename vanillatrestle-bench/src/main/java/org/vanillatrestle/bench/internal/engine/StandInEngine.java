package org.vanillatrestle.bench.internal.engine;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.vanillatrestle.bench.internal.http.HttpServer;
import org.vanillatrestle.bench.internal.standin.Announcer;
import org.vanillatrestle.bench.internal.standin.Fault;
import org.vanillatrestle.bench.internal.standin.LoadHistory;
import org.vanillatrestle.bench.internal.standin.LoadReport;
import org.vanillatrestle.bench.internal.standin.Run;
import org.vanillatrestle.bench.internal.standin.StandInControl;

/**
 * A stand-in for a model engine that speaks the OpenAI form over HTTP.
 * <p>
 * Thread safe. Its state lives on one event loop. Closing it stops announcements and
 * resets every connection.
 */
public final class StandInEngine implements AutoCloseable {

	private static final long SAMPLE_MILLIS = 100;

	private static final long DRAIN_POLL_MILLIS = 20;

	private final StandInControl control;

	private final HttpServer server;

	private final Batch batch;

	private final LoadHistory history;

	private volatile LoadReport visibleLoad = LoadReport.IDLE;

	private volatile LoadReport load = LoadReport.IDLE;

	private StandInEngine(StandInControl control, HttpServer server, Batch batch, LoadHistory history) {
		this.control = control;
		this.server = server;
		this.batch = batch;
		this.history = history;
	}

	/**
	 * Starts an engine.
	 * @param settings its settings
	 * @return the running engine
	 * @throws IOException if the port can't be opened
	 */
	public static StandInEngine start(EngineSettings settings) throws IOException {
		StandInControl control = new StandInControl();
		Batch batch = new Batch(settings.timing(), control.faults());
		HttpServer server = HttpServer.start(settings.host(), settings.port(), () -> new EngineHandler(control, batch));
		LoadHistory history = new LoadHistory(TimeUnit.MILLISECONDS.toNanos(settings.timing().loadLagMillis()));
		StandInEngine engine = new StandInEngine(control, server, batch, history);
		Announcer announcer = new Announcer(settings.profile(), settings.host(), server.port(),
				() -> engine.visibleLoad);
		control.announcer(announcer);
		EventLoop loop = server.eventLoop();
		loop.scheduleAtFixedRate(engine::sample, 0, SAMPLE_MILLIS, TimeUnit.MILLISECONDS);
		announcer.start(loop);
		return engine;
	}

	private void sample() {
		long nowNanos = System.nanoTime();
		this.load = this.batch.load();
		this.history.add(nowNanos, this.load);
		this.visibleLoad = this.history.at(nowNanos);
	}

	/**
	 * Returns the port in use.
	 * @return the port, never 0
	 */
	public int port() {
		return this.server.port();
	}

	/**
	 * Returns every run since the start.
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
		while (this.load.running() + this.load.queued() > 0 && System.nanoTime() - deadlineNanos < 0) {
			Thread.sleep(DRAIN_POLL_MILLIS);
		}
		close();
	}

	@Override
	public void close() {
		announcer().close();
		this.server.close();
	}

}
