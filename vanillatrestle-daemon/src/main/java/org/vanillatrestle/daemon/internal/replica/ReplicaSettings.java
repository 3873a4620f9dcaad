package org.vanillatrestle.daemon.internal.replica;

import java.util.Set;

import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.log.LogSettings;

/**
 * Settings of a replica.
 * <p>
 * Immutable and thread safe.
 *
 * @param log times and sizes of the log
 * @param wantedVoters the VMs that should hold a voter each
 * @param voterTarget how many of them should vote at the same time
 * @param batchLimit the most inputs handled between two syncs
 * @param queueLimit the most inputs that wait
 * @param waitingBytesLimit the most bytes of commands that are not acknowledged yet
 */
public record ReplicaSettings(LogSettings log, Set<VmId> wantedVoters, int voterTarget, int batchLimit, int queueLimit,
		int waitingBytesLimit) {

	private static final int DEFAULT_BATCH = 1024;

	private static final int DEFAULT_QUEUE = 16_384;

	private static final int DEFAULT_WAITING_BYTES = 8 * 1024 * 1024;

	public ReplicaSettings {
		wantedVoters = Set.copyOf(wantedVoters);
	}

	/**
	 * Default limits.
	 * @param wantedVoters the VMs that should hold a voter each
	 * @return settings
	 */
	public static ReplicaSettings of(Set<VmId> wantedVoters) {
		return new ReplicaSettings(LogSettings.defaults(), wantedVoters, Integer.MAX_VALUE, DEFAULT_BATCH,
				DEFAULT_QUEUE, DEFAULT_WAITING_BYTES);
	}

}
