package org.vanillatrestle;

/**
 * Identifies a VM that runs a vanillatrestle daemon.
 * <p>
 * Immutable and thread safe. The value matches {@link Names#PATTERN} and is therefore
 * never blank.
 *
 * @param value the name, as written in settings and contracts
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
