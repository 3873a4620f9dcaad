package org.vanillatrestle.internal.once;

import java.util.List;

import org.vanillatrestle.VmId;

/**
 * The complete state of a once ledger at one log index.
 * <p>
 * Immutable and thread safe.
 *
 * @param appliedIndex the log index of the last applied command
 * @param ledgerMillis the ledger time, in milliseconds
 * @param quarantineUntilMillis the ledger time, in milliseconds, until which claims on
 * opaque keys, which this data centre did not issue, are not granted
 * @param opaqueRecordsExpired whether the record of an opaque key has ever expired
 * @param generations the generations that are not retired, in ascending order
 * @param holders the VMs whose attempts below an incarnation were abandoned, in the order
 * of their last abandonment
 * @param records all records, in the order in which the ledger stores them
 */
public record OnceSnapshot(long appliedIndex, long ledgerMillis, long quarantineUntilMillis,
		boolean opaqueRecordsExpired, List<Generation> generations, List<EndedHolder> holders,
		List<OnceRecord> records) {

	public OnceSnapshot {
		generations = List.copyOf(generations);
		holders = List.copyOf(holders);
		records = List.copyOf(records);
	}

	/**
	 * A VM whose attempts below an incarnation were abandoned.
	 *
	 * @param holder the VM
	 * @param belowIncarnation the lowest incarnation under which the VM may claim
	 */
	public record EndedHolder(VmId holder, long belowIncarnation) {

	}

}
