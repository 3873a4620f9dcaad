package org.vanillatrestle.internal.log;

import java.util.Comparator;
import java.util.Objects;

import org.vanillatrestle.VmId;

/**
 * Identifies a replica: a VM together with its data folder. A VM whose folder was emptied
 * comes back as another replica and holds none of the old one's votes.
 * <p>
 * Immutable and thread safe.
 *
 * @param vm the VM that runs the replica
 * @param storage the data folder it votes with
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
