package org.vanillatrestle.internal.select;

import java.util.List;
import java.util.function.ToDoubleFunction;

import org.apache.commons.rng.UniformRandomProvider;
import org.vanillatrestle.internal.request.PolicyRequest;

/**
 * The algorithm that chooses one of several candidates.
 * <p>
 * All modes work on the same corrected load figures, so that measurements of different
 * modes are comparable. Immutable and thread safe.
 */
public enum SelectionMode {

	/**
	 * Chooses the candidate with the lower utilisation out of two random ones.
	 */
	TWO_CHOICES {
		@Override
		Candidate choose(Pool pool, List<Candidate> candidates, PolicyRequest request, TargetCosts costs,
				UniformRandomProvider random) {
			Candidate first = candidates.get(random.nextInt(candidates.size()));
			Candidate second = candidates.get(random.nextInt(candidates.size()));
			return (first.utilisation() <= second.utilisation()) ? first : second;
		}
	},

	/**
	 * Chooses the candidate with the lowest utilisation.
	 */
	LEAST_USED {
		@Override
		Candidate choose(Pool pool, List<Candidate> candidates, PolicyRequest request, TargetCosts costs,
				UniformRandomProvider random) {
			return lowestCost(candidates, random, Candidate::utilisation);
		}
	},

	/**
	 * Takes a random sample of candidates. A candidate is hot if its utilisation exceeds
	 * a quantile of the pool's utilisation, else cold. Chooses the cold candidate with
	 * the lowest measured slowness; if all are hot, the one with the lowest utilisation.
	 */
	HOT_COLD {
		@Override
		Candidate choose(Pool pool, List<Candidate> candidates, PolicyRequest request, TargetCosts costs,
				UniformRandomProvider random) {
			double hotThreshold = pool.utilisationQuantile(HOT_QUANTILE);
			Candidate best = null;
			boolean bestIsCold = false;
			for (int i = 0; i < HOT_COLD_SAMPLE_SIZE; i++) {
				Candidate candidate = candidates.get(random.nextInt(candidates.size()));
				boolean cold = candidate.utilisation() <= hotThreshold;
				boolean better = best == null || (cold && !bestIsCold)
						|| (cold == bestIsCold && (cold ? candidate.state().slowness() < best.state().slowness()
								: candidate.utilisation() < best.utilisation()));
				if (better) {
					best = candidate;
					bestIsCold = cold;
				}
			}
			return best;
		}
	},

	/**
	 * Chooses the candidate that ranks highest by rendezvous hashing of the prefix, among
	 * those whose utilisation does not exceed a bound relative to the pool's mean.
	 * Chooses the lowest expected cost if there is no such candidate or no prefix.
	 */
	RENDEZVOUS {
		@Override
		Candidate choose(Pool pool, List<Candidate> candidates, PolicyRequest request, TargetCosts costs,
				UniformRandomProvider random) {
			if (request.prefixHash() == 0) {
				return lowestCost(candidates, random, (candidate) -> costs.cost(pool, candidate, request));
			}
			double maxUtilisation = costs.maxUtilisation(pool);
			Candidate best = null;
			for (Candidate candidate : candidates) {
				boolean fits = candidate.utilisation() <= maxUtilisation;
				if (fits && (best == null || RendezvousHashing.weight(request.prefixHash(),
						candidate) > RendezvousHashing.weight(request.prefixHash(), best))) {
					best = candidate;
				}
			}
			return (best != null) ? best
					: lowestCost(candidates, random, (candidate) -> costs.cost(pool, candidate, request));
		}
	},

	/**
	 * Chooses the candidate with the lowest expected cost, which balances prefix cache
	 * hits against load.
	 */
	COST {
		@Override
		Candidate choose(Pool pool, List<Candidate> candidates, PolicyRequest request, TargetCosts costs,
				UniformRandomProvider random) {
			return lowestCost(candidates, random, (candidate) -> costs.cost(pool, candidate, request));
		}
	};

	private static final double HOT_QUANTILE = 0.8;

	private static final int HOT_COLD_SAMPLE_SIZE = 3;

	abstract Candidate choose(Pool pool, List<Candidate> candidates, PolicyRequest request, TargetCosts costs,
			UniformRandomProvider random);

	private static Candidate lowestCost(List<Candidate> candidates, UniformRandomProvider random,
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
