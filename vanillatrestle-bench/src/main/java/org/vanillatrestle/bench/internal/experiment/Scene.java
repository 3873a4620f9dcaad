package org.vanillatrestle.bench.internal.experiment;

import java.util.List;

/**
 * Load by region and faults over time.
 * <p>
 * Immutable and thread safe.
 *
 * @param name the scene's name
 * @param seconds how long requests arrive
 * @param loads the load of each region
 * @param faults the faults
 */
record Scene(String name, int seconds, List<RegionLoad> loads, List<Fault> faults) {

	/**
	 * Model requests from one region.
	 *
	 * @param region the region's name
	 * @param steps the rates, by time
	 */
	record RegionLoad(String region, List<Step> steps) {

		double requestsPerSecond(double atSeconds) {
			double rate = 0;
			for (Step step : this.steps) {
				rate = (step.atSeconds <= atSeconds) ? step.requestsPerSecond : rate;
			}
			return rate;
		}

		double maxRequestsPerSecond() {
			return this.steps.stream().mapToDouble(Step::requestsPerSecond).max().orElse(0);
		}

	}

	/**
	 * A rate from a moment on.
	 *
	 * @param atSeconds the moment in seconds of the scene
	 * @param requestsPerSecond the rate
	 */
	record Step(double atSeconds, double requestsPerSecond) {

	}

	/**
	 * A fault that comes and goes.
	 *
	 * @param kind the kind
	 * @param where the beginning of targets' names, or two regions joined by {@code >}
	 * @param atSeconds when it comes
	 * @param seconds how long it lasts
	 * @param factor how much slower a slow target is
	 */
	record Fault(FaultKind kind, String where, double atSeconds, double seconds, double factor) {

	}

}
