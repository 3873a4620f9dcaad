package org.vanillatrestle.internal.select;

import java.util.List;
import java.util.function.ToDoubleFunction;

import org.apache.commons.rng.UniformRandomProvider;
import org.vanillatrestle.internal.request.PolicyRequest;

/**
 * How one of several candidates is chosen.
 * <p>
 * Immutable and thread safe. Every mode sees the same corrected loads, so that modes can
 * be compared by measurement.
 */
public enum SelectionMode {

	/**
	 * The less used of two random candidates.
	 */
	TWO_CHOICES {
		@Override
		Candidate choose(Pool pool, List<Candidate> candidates, PolicyRequest request, TargetCosts costs,
				UniformRandomProvider random) {
			Candidate first = candidates.get(random.nextInt(candidates.size()));
			Candidate second = candidates.get(random.nextInt(candidates.size()));
			return (first.use() <= second.use()) ? first : second;
		}
	},

	/**
	 * The least used candidate.
	 */
	LEAST_USED {
		@Override
		Candidate choose(Pool pool, List<Candidate> candidates, PolicyRequest request, TargetCosts costs,
				UniformRandomProvider random) {
			return least(candidates, random, Candidate::use);
		}
	},

	/**
	 * Requests in flight first and latency second, over a random sample: a candidate
	 * whose use is among the highest of the sample is taken only if all are.
	 */
	HOT_COLD {
		@Override
		Candidate choose(Pool pool, List<Candidate> candidates, PolicyRequest request, TargetCosts costs,
				UniformRandomProvider random) {
			double limit = pool.useQuantile(HOT_QUANTILE);
			Candidate best = null;
			boolean bestCold = false;
			for (int i = 0; i < SAMPLE; i++) {
				Candidate candidate = candidates.get(random.nextInt(candidates.size()));
				boolean cold = candidate.use() <= limit;
				boolean better = best == null || (cold && !bestCold) || (cold == bestCold && (cold
						? candidate.state().slowness() < best.state().slowness() : candidate.use() < best.use()));
				if (better) {
					best = candidate;
					bestCold = cold;
				}
			}
			return best;
		}
	},

	/**
	 * The first by rendezvous hashing of the prefix whose use is within a bound of the
	 * pool's mean, else the lowest cost.
	 */
	RENDEZVOUS {
		@Override
		Candidate choose(Pool pool, List<Candidate> candidates, PolicyRequest request, TargetCosts costs,
				UniformRandomProvider random) {
			if (request.prefixHash() == 0) {
				return least(candidates, random, (candidate) -> costs.cost(pool, candidate, request));
			}
			double bound = costs.useBound(pool);
			Candidate best = null;
			for (Candidate candidate : candidates) {
				boolean fits = candidate.use() <= bound;
				if (fits && (best == null || Rendezvous.weight(request.prefixHash(), candidate) > Rendezvous
					.weight(request.prefixHash(), best))) {
					best = candidate;
				}
			}
			return (best != null) ? best
					: least(candidates, random, (candidate) -> costs.cost(pool, candidate, request));
		}
	},

	/**
	 * The lowest cost, which weighs the prefix that is likely cached against load.
	 */
	COST {
		@Override
		Candidate choose(Pool pool, List<Candidate> candidates, PolicyRequest request, TargetCosts costs,
				UniformRandomProvider random) {
			return least(candidates, random, (candidate) -> costs.cost(pool, candidate, request));
		}
	};

	private static final double HOT_QUANTILE = 0.8;

	private static final int SAMPLE = 3;

	abstract Candidate choose(Pool pool, List<Candidate> candidates, PolicyRequest request, TargetCosts costs,
			UniformRandomProvider random);

	private static Candidate least(List<Candidate> candidates, UniformRandomProvider random,
			ToDoubleFunction<Candidate> cost) {
		int offset = random.nextInt(candidates.size());
		Candidate best = null;
		double bestCost = Double.POSITIVE_INFINITY;
		for (int i = 0; i < candidates.size(); i++) {
			Candidate candidate = candidates.get((i + offset) % candidates.size());
			double candidateCost = cost.applyAsDouble(candidate);
			if (best == null || candidateCost < bestCost) {
				best = candidate;
				bestCost = candidateCost;
			}
		}
		return best;
	}

}
