package org.vanillatrestle.internal.once;

import java.util.List;

import org.vanillatrestle.VmId;

/**
 * The whole state of a once ledger at one index.
 * <p>
 * Immutable and thread safe.
 *
 * @param appliedIndex the index of the last command that was applied
 * @param ledgerMillis the ledger's own time, in milliseconds
 * @param quarantineUntilMillis until when opaque keys are not granted, in milliseconds of
 * the ledger's own time
 * @param opaqueForgotten whether a record of an opaque key was ever dropped
 * @param generations the generations that are not retired, ascending
 * @param holders the VMs of which an incarnation was given up, the latest last
 * @param records all records, in the order in which they are kept
 */
public record OnceSnapshot(long appliedIndex, long ledgerMillis, long quarantineUntilMillis, boolean opaqueForgotten,
		List<Generation> generations, List<EndedHolder> holders, List<OnceRecord> records) {

	public OnceSnapshot {
		generations = List.copyOf(generations);
		holders = List.copyOf(holders);
		records = List.copyOf(records);
	}

	/**
	 * A VM of which an incarnation was given up.
	 *
	 * @param holder the VM
	 * @param belowIncarnation the least incarnation that may claim
	 */
	public record EndedHolder(VmId holder, long belowIncarnation) {

	}

}
