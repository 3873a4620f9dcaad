package org.vanillatrestle.internal.select;

import java.util.List;

import org.vanillatrestle.Objective;
import org.vanillatrestle.internal.request.PolicyRequest;
import org.vanillatrestle.internal.target.Announcement;
import org.vanillatrestle.internal.target.TargetCapacity;

/**
 * Computes the expected cost of serving a request at a target: the expected latency,
 * multiplied by the square of the target's relative price if the request's objective is
 * {@code COST}. The latency of an ejected target counts a hundredfold.
 * <p>
 * Immutable and thread safe.
 */
final class TargetCosts {

	private static final double FIXED_WORK_UNITS = 40;

	private static final double WORK_UNITS_PER_CACHED_TOKEN = 0.1;

	private static final double DECODE_WEIGHT = 0.25;

	private static final double IDLE_TOKEN_TIME_SHARE = 0.4;

	private final SelectionSettings settings;

	private final long nowNanos;

	private final Candidate preferredCandidate;

	private final List<TargetState> prefixHolders;

	/**
	 * Creates the cost model for the selection of one request's target.
	 * @param settings the settings
	 * @param nowNanos the monotonic time in nanoseconds
	 * @param preferredCandidate the target to which all VMs send the request's prefix if
	 * its load permits, or {@code null}
	 * @param prefixHolders the targets that likely have the request's prefix cached
	 */
	TargetCosts(SelectionSettings settings, long nowNanos, Candidate preferredCandidate,
			List<TargetState> prefixHolders) {
		this.settings = settings;
		this.nowNanos = nowNanos;
		this.preferredCandidate = preferredCandidate;
		this.prefixHolders = prefixHolders;
	}

	static long referencePriceMicros(Announcement announcement) {
		TargetCapacity capacity = announcement.capacity();
		return capacity.priceMicrosPerThousandTokens() + capacity.priceMicrosPerRequest();
	}

	/**
	 * Returns the work that a target does before it sends the first byte of the answer.
	 * @param request the request
	 * @param cached whether the prefix is likely cached at the target
	 * @return work units: one per prompt token, less per token if the prefix is cached,
	 * plus a fixed amount per request
	 */
	static double workUnits(PolicyRequest request, boolean cached) {
		return FIXED_WORK_UNITS + request.promptTokens() * (cached ? WORK_UNITS_PER_CACHED_TOKEN : 1);
	}

	double cost(Pool pool, Candidate candidate, PolicyRequest request) {
		double latency = waitNanos(pool, candidate) + firstByteNanos(pool, candidate, request)
				+ DECODE_WEIGHT * decodeNanos(pool, candidate);
		if (candidate.isEjected()) {
			latency *= 100;
		}
		if (request.objective() != Objective.COST) {
			return latency;
		}
		double relativePrice = (double) (referencePriceMicros(candidate.announcement()) + 1)
				/ (pool.minPriceMicros() + 1);
		return latency * relativePrice * relativePrice;
	}

	double waitNanos(Pool pool, Candidate candidate) {
		double excess = candidate.outstanding() + 1 - candidate.slots();
		return (excess <= 0) ? 0 : excess * pool.serviceTimeNanos() / candidate.slots();
	}

	double firstByteNanos(Pool pool, Candidate candidate, PolicyRequest request) {
		boolean cached = candidate == this.preferredCandidate || this.prefixHolders.contains(candidate.state());
		return pool.nanosPerWorkUnit() * workUnits(request, cached) * candidate.state().slowness(this.nowNanos)
				* (1 + candidate.outstanding() / candidate.slots());
	}

	private double decodeNanos(Pool pool, Candidate candidate) {
		TargetCapacity capacity = candidate.announcement().capacity();
		if (capacity.tokensPerSecond() == 0) {
			return 0;
		}
		double fullLoadNanos = 1e9 * capacity.maxRunning() / capacity.tokensPerSecond();
		double utilisation = Math.min(1, candidate.outstanding() / (double) capacity.maxRunning());
		return pool.meanAnswerTokens() * fullLoadNanos
				* (IDLE_TOKEN_TIME_SHARE + (1 - IDLE_TOKEN_TIME_SHARE) * utilisation)
				* candidate.state().slowness(this.nowNanos);
	}

	/**
	 * Returns the highest utilisation at which a target is chosen for its rendezvous
	 * rank. The pool's mean utilisation counts as at least 0.25.
	 * @param pool the pool
	 * @return the utilisation
	 */
	double maxUtilisation(Pool pool) {
		return Math.max(pool.meanUtilisation(), 0.25) * this.settings.maxUtilisationPercentOfMean() / 100;
	}

}
