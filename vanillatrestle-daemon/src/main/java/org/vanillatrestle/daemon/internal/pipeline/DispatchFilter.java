package org.vanillatrestle.daemon.internal.pipeline;

import java.util.HashSet;
import java.util.Set;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;
import org.vanillatrestle.internal.policy.RequestPolicy;

/**
 * Chooses targets, makes attempts and relays the answer; the last filter.
 * <p>
 * Used on the VM's event loop.
 */
public final class DispatchFilter implements Filter {

	private final EventLoop eventLoop;

	private final RequestPolicy policy;

	private final AdmissionFilter admission;

	private final AttemptStarter starter;

	private final LongSupplier clockNanos;

	private final Set<DispatchRun> running = new HashSet<>();

	/**
	 * Creates the filter.
	 * @param eventLoop the VM's event loop
	 * @param policy decides where attempts go
	 * @param admission lets requests wait for their next attempt
	 * @param starter starts attempts
	 * @param clockNanos the monotonic clock in nanoseconds
	 */
	public DispatchFilter(EventLoop eventLoop, RequestPolicy policy, AdmissionFilter admission, AttemptStarter starter,
			LongSupplier clockNanos) {
		this.eventLoop = eventLoop;
		this.policy = policy;
		this.admission = admission;
		this.starter = starter;
		this.clockNanos = clockNanos;
	}

	@Override
	public void apply(Exchange exchange, Continuation next) {
		AttemptLog attempts = new AttemptLog(exchange, this.policy, this.clockNanos);
		DispatchRun run = new DispatchRun(exchange, this.eventLoop, attempts, this.admission, this.starter,
				this.running::remove);
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
