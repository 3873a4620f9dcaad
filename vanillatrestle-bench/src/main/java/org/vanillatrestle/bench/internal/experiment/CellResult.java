package org.vanillatrestle.bench.internal.experiment;

import java.util.List;

/**
 * The runs of one scene with one policy.
 * <p>
 * Immutable and thread safe.
 *
 * @param scene the scene's name
 * @param policy the policy
 * @param runs one run for each seed, in the seeds' order
 */
record CellResult(String scene, PolicyKind policy, List<RunResult> runs) {

	Spread spread(Figure figure) {
		return Spread.of(this.runs, figure.figure());
	}

}
