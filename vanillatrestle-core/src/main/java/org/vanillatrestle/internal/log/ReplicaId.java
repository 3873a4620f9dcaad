package org.vanillatrestle.internal.log;

import java.util.Comparator;
import java.util.Objects;

import org.vanillatrestle.VmId;

/**
 * Identifies a replica by its VM and its data folder. A VM whose folder was emptied
 * returns as a different replica, which does not count as the old one in any vote.
 * <p>
 * Immutable and thread safe.
 *
 * @param vm the VM that runs the replica
 * @param storage the data folder that holds its votes and entries
 */
public record ReplicaId(VmId vm, StorageId storage) implements Comparable<ReplicaId> {

	private static final Comparator<ReplicaId> ORDER = Comparator.comparing(ReplicaId::vm)
		.thenComparing(ReplicaId::storage);

	public ReplicaId {
		Objects.requireNonNull(vm, "vm");
		Objects.requireNonNull(storage, "storage");
	}

	@Override
	public int compareTo(ReplicaId other) {
		return ORDER.compare(this, other);
	}

	@Override
	public String toString() {
		return this.vm + "/" + this.storage;
	}

}
