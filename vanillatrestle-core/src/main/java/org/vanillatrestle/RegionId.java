package org.vanillatrestle;

/**
 * Identifies a region. Contracts specify by region where data may be processed.
 * <p>
 * Immutable and thread safe. The value matches {@link Names#PATTERN} and is therefore
 * never blank.
 *
 * @param value the name, as written in settings and contracts
 */
public record RegionId(String value) implements Comparable<RegionId> {

	public RegionId {
		Names.check("region", value);
	}

	@Override
	public int compareTo(RegionId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
