package org.vanillatrestle;

/**
 * Identifies a region: the unit in which contracts say where data may be processed.
 * <p>
 * Immutable and thread safe. The value is never blank and matches {@link Names#PATTERN}.
 *
 * @param value the name as written in settings and contracts
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
