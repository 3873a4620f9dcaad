package org.vanillatrestle.daemon.internal.pipeline;

import java.util.HashSet;
import java.util.Set;

import io.netty.channel.EventLoop;

/**
 * Chooses targets, makes attempts and relays the answer; the last filter.
 * <p>
 * Used on the VM's event loop.
 */
public final class DispatchFilter implements Filter {

	private final EventLoop eventLoop;

	private final Router router;

	private final AttemptStarter starter;

	private final Set<DispatchRun> running = new HashSet<>();

	/**
	 * Creates the filter.
	 * @param eventLoop the VM's event loop
	 * @param router decides where attempts go
	 * @param starter starts attempts
	 */
	public DispatchFilter(EventLoop eventLoop, Router router, AttemptStarter starter) {
		this.eventLoop = eventLoop;
		this.router = router;
		this.starter = starter;
	}

	@Override
	public void apply(Exchange exchange, Continuation next) {
		DispatchRun run = new DispatchRun(exchange, this.eventLoop, this.router, this.starter, this.running::remove);
		this.running.add(run);
		run.start();
	}

	/**
	 * Returns the number of requests whose attempts go on, including those whose caller
	 * has gone but whose answer is still to be recorded.
	 * @return the number of runs
	 */
	public int runningCount() {
		return this.running.size();
	}

}
