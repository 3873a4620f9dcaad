package org.vanillatrestle.bench.internal.experiment;

import java.util.List;

import org.vanillatrestle.Objective;

/**
 * What an experiment runs on: regions with VMs and targets, links, and the workload.
 * <p>
 * Immutable and thread safe.
 *
 * @param customer the customer
 * @param objective what the contract weighs most
 * @param maxSentAwayPercent the contract's cap on requests sent away
 * @param deadlineNanos the deadline of requests
 * @param regionDelayNanos delay between regions, one way
 * @param dataCentreDelayNanos delay within a data centre, one way
 * @param clientDelayNanos delay between callers and VMs, one way
 * @param linkBytesPerSecond what a pair of regions shares each way
 * @param linkPriceMicrosPerMegabyte price of transfers in millionths of the currency
 * @param workload the requests
 * @param regions the regions
 */
record Deployment(String customer, Objective objective, int maxSentAwayPercent, long deadlineNanos,
		long regionDelayNanos, long dataCentreDelayNanos, long clientDelayNanos, long linkBytesPerSecond,
		long linkPriceMicrosPerMegabyte, Workload workload, List<RegionPlan> regions) {

	/**
	 * The requests of callers.
	 *
	 * @param promptTokens mean tokens of a prompt
	 * @param answerTokens mean tokens of an answer
	 * @param prefixes number of different prompt prefixes
	 * @param prefixPercent part of a prompt that is prefix
	 * @param plainPercent calls of the plain service in percent of model requests
	 */
	record Workload(int promptTokens, int answerTokens, int prefixes, int prefixPercent, int plainPercent) {

	}

	/**
	 * One region with one data centre.
	 *
	 * @param name the region's name
	 * @param vms its entry VMs
	 * @param targets its targets
	 */
	record RegionPlan(String name, int vms, List<TargetPlan> targets) {

	}

	/**
	 * Targets of one make.
	 *
	 * @param name the name's beginning
	 * @param plain whether they are plain services
	 * @param count how many
	 * @param maxRunning requests that one processes at the same time
	 * @param speed relative speed
	 * @param cachedPrefixes prompt prefixes that fit its cache
	 * @param priceMicros price of a thousand tokens, or of a call of a plain service
	 */
	record TargetPlan(String name, boolean plain, int count, int maxRunning, double speed, int cachedPrefixes,
			long priceMicros) {

	}

}
