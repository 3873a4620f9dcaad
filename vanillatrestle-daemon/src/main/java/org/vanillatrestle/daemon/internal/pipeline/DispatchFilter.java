package org.vanillatrestle.daemon.internal.pipeline;

import java.util.HashSet;
import java.util.Set;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;
import org.vanillatrestle.internal.policy.RequestPolicy;

/**
 * The last filter: selects targets, makes attempts and relays the answer to the caller.
 * <p>
 * Used on the VM's event loop.
 */
public final class DispatchFilter implements Filter {

	private final EventLoop eventLoop;

	private final RequestPolicy policy;

	private final AdmissionFilter admission;

	private final AttemptStarter starter;

	private final AnswerCutListener cutListener;

	private final LongSupplier clockNanos;

	private final Set<DispatchRun> activeRuns = new HashSet<>();

	/**
	 * Creates the filter.
	 * @param eventLoop the VM's event loop
	 * @param policy places attempts
	 * @param admission queues requests that must wait before a retry
	 * @param starter starts attempts
	 * @param cutListener is told of answers that are broken off
	 * @param clockNanos the monotonic clock in nanoseconds
	 */
	public DispatchFilter(EventLoop eventLoop, RequestPolicy policy, AdmissionFilter admission, AttemptStarter starter,
			AnswerCutListener cutListener, LongSupplier clockNanos) {
		this.eventLoop = eventLoop;
		this.policy = policy;
		this.admission = admission;
		this.starter = starter;
		this.cutListener = cutListener;
		this.clockNanos = clockNanos;
	}

	@Override
	public void apply(Exchange exchange, Continuation next) {
		AttemptTracker tracker = new AttemptTracker(exchange, this.policy, this.clockNanos);
		DispatchRun run = new DispatchRun(exchange, this.eventLoop, tracker, this.admission, this.starter,
				this.cutListener, this.activeRuns::remove);
		this.activeRuns.add(run);
		run.start();
	}

	/**
	 * Returns the number of requests being dispatched. This includes requests whose
	 * caller has disconnected but whose answer must still be recorded.
	 * @return the number of requests
	 */
	public int runningCount() {
		return this.activeRuns.size();
	}

}
