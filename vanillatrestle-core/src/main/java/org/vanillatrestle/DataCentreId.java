package org.vanillatrestle;

/**
 * Identifies a data centre; each data centre belongs to exactly one region.
 * <p>
 * Immutable and thread safe. The value matches {@link Names#PATTERN} and is therefore
 * never blank.
 *
 * @param value the name, as written in settings and contracts
 */
public record DataCentreId(String value) implements Comparable<DataCentreId> {

	public DataCentreId {
		Names.check("data centre", value);
	}

	@Override
	public int compareTo(DataCentreId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
