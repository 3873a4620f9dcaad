package org.vanillatrestle;

/**
 * Identifies a VM that runs a vanillatrestle daemon.
 * <p>
 * Immutable and thread safe. The value is never blank and matches {@link Names#PATTERN}.
 *
 * @param value the name as written in settings and contracts
 */
public record VmId(String value) implements Comparable<VmId> {

	public VmId {
		Names.check("VM", value);
	}

	@Override
	public int compareTo(VmId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
