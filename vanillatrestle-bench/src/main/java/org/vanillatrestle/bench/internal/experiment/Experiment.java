package org.vanillatrestle.bench.internal.experiment;

import java.util.List;

/**
 * What one experiment file asks for: each scene with each policy and seed.
 * <p>
 * Immutable and thread safe.
 *
 * @param name the experiment's name
 * @param deployment the deployment
 * @param scenes the scenes
 * @param policies the policies
 * @param seeds the seeds
 * @param warmUpNanos the time at a scene's start whose requests don't count
 */
record Experiment(String name, Deployment deployment, List<Scene> scenes, List<PolicyKind> policies, List<Long> seeds,
		long warmUpNanos) {

}
