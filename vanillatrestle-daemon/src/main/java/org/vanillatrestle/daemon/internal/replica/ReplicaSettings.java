package org.vanillatrestle.daemon.internal.replica;

import java.util.Set;

import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.log.LogSettings;

/**
 * Settings of a replica.
 * <p>
 * Immutable and thread safe.
 *
 * @param log the intervals and size limits of the log
 * @param wantedVoters the VMs that should each have a voter
 * @param desiredVoterCount the desired number of simultaneous voters among these VMs
 * @param maxBatchInputs the maximum number of inputs handled between two syncs
 * @param maxQueuedInputs the maximum number of queued inputs
 * @param maxPendingBytes the maximum total size of unacknowledged commands, in bytes
 */
public record ReplicaSettings(LogSettings log, Set<VmId> wantedVoters, int desiredVoterCount, int maxBatchInputs,
		int maxQueuedInputs, int maxPendingBytes) {

	private static final int DEFAULT_MAX_BATCH_INPUTS = 1024;

	private static final int DEFAULT_MAX_QUEUED_INPUTS = 16_384;

	private static final int DEFAULT_MAX_PENDING_BYTES = 8 * 1024 * 1024;

	public ReplicaSettings {
		wantedVoters = Set.copyOf(wantedVoters);
	}

	/**
	 * Creates settings with the default limits.
	 * @param wantedVoters the VMs that should each have a voter
	 * @return the settings
	 */
	public static ReplicaSettings of(Set<VmId> wantedVoters) {
		return new ReplicaSettings(LogSettings.defaults(), wantedVoters, Integer.MAX_VALUE, DEFAULT_MAX_BATCH_INPUTS,
				DEFAULT_MAX_QUEUED_INPUTS, DEFAULT_MAX_PENDING_BYTES);
	}

}
