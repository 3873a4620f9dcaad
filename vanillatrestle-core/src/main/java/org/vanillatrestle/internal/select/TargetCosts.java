package org.vanillatrestle.internal.select;

import java.util.List;

import org.vanillatrestle.Objective;
import org.vanillatrestle.internal.request.PolicyRequest;
import org.vanillatrestle.internal.target.Announcement;
import org.vanillatrestle.internal.target.TargetCapacity;

/**
 * The expected cost of serving a request at a target: the time to the answer, weighed for
 * the objective {@code COST} by the target's price.
 * <p>
 * Immutable and thread safe.
 */
final class TargetCosts {

	private static final double FIXED_UNITS = 40;

	private static final double CACHED_SHARE = 0.1;

	private static final double DECODE_WEIGHT = 0.25;

	private static final double IDLE_TOKEN_TIME = 0.4;

	private final SelectSettings settings;

	private final long nowNanos;

	private final Candidate preferred;

	private final List<TargetState> holders;

	/**
	 * Creates the costs for one choice.
	 * @param settings the settings
	 * @param nowNanos the monotonic time in nanoseconds
	 * @param preferred the target to which all VMs send the request's prefix if load
	 * allows, or {@code null}
	 * @param holders targets that likely have the request's prefix cached
	 */
	TargetCosts(SelectSettings settings, long nowNanos, Candidate preferred, List<TargetState> holders) {
		this.settings = settings;
		this.nowNanos = nowNanos;
		this.preferred = preferred;
		this.holders = holders;
	}

	static long referencePrice(Announcement announcement) {
		TargetCapacity capacity = announcement.capacity();
		return capacity.priceMicrosPerThousandTokens() + capacity.priceMicrosPerRequest();
	}

	/**
	 * Returns the work until the first byte.
	 * @param request the request
	 * @param cached whether the prefix is likely cached
	 * @return tokens to read, and a fixed amount
	 */
	static double units(PolicyRequest request, boolean cached) {
		return FIXED_UNITS + request.promptTokens() * (cached ? CACHED_SHARE : 1);
	}

	double cost(Pool pool, Candidate candidate, PolicyRequest request) {
		double latency = waitNanos(pool, candidate) + firstByteNanos(pool, candidate, request)
				+ DECODE_WEIGHT * decodeNanos(pool, candidate);
		if (candidate.ejected()) {
			latency *= 100;
		}
		if (request.objective() != Objective.COST) {
			return latency;
		}
		double price = (double) (referencePrice(candidate.announcement()) + 1) / (pool.minPriceMicros() + 1);
		return latency * price * price;
	}

	double waitNanos(Pool pool, Candidate candidate) {
		double excess = candidate.outstanding() + 1 - candidate.slots();
		return (excess <= 0) ? 0 : excess * pool.serviceNanos() / candidate.slots();
	}

	double firstByteNanos(Pool pool, Candidate candidate, PolicyRequest request) {
		boolean cached = candidate == this.preferred || this.holders.contains(candidate.state());
		return pool.nanosPerUnit() * units(request, cached) * candidate.state().slowness(this.nowNanos)
				* (1 + candidate.outstanding() / candidate.slots());
	}

	private double decodeNanos(Pool pool, Candidate candidate) {
		TargetCapacity capacity = candidate.announcement().capacity();
		if (capacity.tokensPerSecond() == 0) {
			return 0;
		}
		double fullLoadNanos = 1e9 * capacity.maxRunning() / capacity.tokensPerSecond();
		double use = Math.min(1, candidate.outstanding() / (double) capacity.maxRunning());
		return pool.answerTokens() * fullLoadNanos * (IDLE_TOKEN_TIME + (1 - IDLE_TOKEN_TIME) * use)
				* candidate.state().slowness(this.nowNanos);
	}

	double useBound(Pool pool) {
		return Math.max(pool.meanUse(), 0.25) * this.settings.useBoundPercent() / 100;
	}

}
