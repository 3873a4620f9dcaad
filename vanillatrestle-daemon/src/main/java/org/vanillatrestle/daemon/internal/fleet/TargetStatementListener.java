package org.vanillatrestle.daemon.internal.fleet;

import org.vanillatrestle.TargetId;

/**
 * Receives what targets state about themselves in answers and all VMs have to know.
 * Called on the VM's event loop; must not block.
 */
public interface TargetStatementListener {

	/**
	 * Called when an answer says that its target is leaving.
	 * @param target the target
	 * @param bornMillis start time of the responding incarnation, in Unix milliseconds
	 */
	void targetLeaving(TargetId target, long bornMillis);

	/**
	 * Called when another target answered at the address of a target, which has ended
	 * without a report.
	 * @param target the target that has ended
	 * @param bornMillis start time of the incarnation that has ended, in Unix
	 * milliseconds
	 */
	void targetReplaced(TargetId target, long bornMillis);

	/**
	 * Called when an answer states another limit than the one known.
	 * @param target the target
	 * @param bornMillis start time of the responding incarnation, in Unix milliseconds
	 * @param requestsPerSecond the rate that the target takes from all VMs together, in
	 * requests per second, {@link Double#POSITIVE_INFINITY} if there is no limit
	 */
	void limitChanged(TargetId target, long bornMillis, double requestsPerSecond);

}
