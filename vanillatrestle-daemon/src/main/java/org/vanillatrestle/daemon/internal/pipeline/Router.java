package org.vanillatrestle.daemon.internal.pipeline;

import java.util.Set;

import org.vanillatrestle.TargetId;
import org.vanillatrestle.Verdict;

/**
 * Decides where attempts go and whether another may be made.
 * <p>
 * Used on the VM's event loop.
 */
public interface Router {

	/**
	 * Chooses where the next attempt goes.
	 * @param exchange the request
	 * @param tried the targets already tried, never chosen again
	 * @return the route
	 */
	Route route(Exchange exchange, Set<TargetId> tried);

	/**
	 * An attempt begins.
	 * @param exchange the request
	 * @param route where it goes
	 */
	void dispatched(Exchange exchange, Route route);

	/**
	 * An attempt's answer has begun.
	 * @param exchange the request
	 * @param route where the attempt went
	 */
	void firstByte(Exchange exchange, Route route);

	/**
	 * An attempt has ended.
	 * @param exchange the request
	 * @param route where the attempt went
	 * @param outcome how it ended
	 * @param answerTokens the tokens of its answer, as far as known
	 */
	void finished(Exchange exchange, Route route, AttemptOutcome outcome, int answerTokens);

	/**
	 * Decides whether another attempt may be made.
	 * @param exchange the request
	 * @param verdict the verdict of the attempts so far together
	 * @return the delay in nanoseconds, or -1 if no other attempt may be made
	 */
	long retryDelayNanos(Exchange exchange, Verdict verdict);

}
