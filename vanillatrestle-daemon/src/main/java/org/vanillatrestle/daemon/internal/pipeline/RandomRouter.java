package org.vanillatrestle.daemon.internal.pipeline;

import java.util.List;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;
import org.vanillatrestle.TargetId;
import org.vanillatrestle.Verdict;
import org.vanillatrestle.internal.target.Announcement;
import org.vanillatrestle.internal.target.TargetRegistry;

/**
 * Chooses any live target of this data centre.
 * <p>
 * Used on the VM's event loop.
 */
public final class RandomRouter implements Router {

	private static final int MAX_ATTEMPTS = 3;

	private static final long RETRY_DELAY_NANOS = 10_000_000;

	private final TargetRegistry registry;

	private final UniformRandomProvider random;

	public RandomRouter(TargetRegistry registry, UniformRandomProvider random) {
		this.registry = registry;
		this.random = random;
	}

	@Override
	public Route route(Exchange exchange, Set<TargetId> tried) {
		Call call = exchange.call();
		List<Announcement> candidates = this.registry
			.candidates(exchange.contract().customer(), call.service().name(), call.model(), System.nanoTime())
			.stream()
			.filter((candidate) -> !tried.contains(candidate.target()))
			.toList();
		if (candidates.isEmpty()) {
			return new Route.Nowhere("no live target", 1_000);
		}
		return new Route.Local(candidates.get(this.random.nextInt(candidates.size())));
	}

	@Override
	public void dispatched(Exchange exchange, Route route) {
	}

	@Override
	public void firstByte(Exchange exchange, Route route) {
	}

	@Override
	public void finished(Exchange exchange, Route route, AttemptOutcome outcome, int answerTokens) {
	}

	@Override
	public long retryDelayNanos(Exchange exchange, Verdict verdict) {
		return (exchange.attempts() < MAX_ATTEMPTS) ? RETRY_DELAY_NANOS : -1;
	}

}
