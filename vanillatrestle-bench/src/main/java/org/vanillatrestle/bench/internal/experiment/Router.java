package org.vanillatrestle.bench.internal.experiment;

import org.vanillatrestle.internal.target.Announcement;

/**
 * One entry VM under some policy.
 * <p>
 * Not thread safe.
 */
interface Router {

	String region();

	/**
	 * Starts periodic work, when all VMs exist.
	 */
	void start();

	/**
	 * Takes a target's announcement.
	 * @param announcement the announcement, late by the report's lag and the network
	 */
	void announced(Announcement announcement);

	/**
	 * Takes a caller's request.
	 * @param request the request
	 */
	void arrive(SimulatedRequest request);

}
