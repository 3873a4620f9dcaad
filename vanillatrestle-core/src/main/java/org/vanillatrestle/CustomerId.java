package org.vanillatrestle;

/**
 * Identifies a customer, the owner of one contract.
 * <p>
 * Immutable and thread safe. The value matches {@link Names#PATTERN} and is therefore
 * never blank.
 *
 * @param value the name, as written in settings and contracts
 */
public record CustomerId(String value) implements Comparable<CustomerId> {

	public CustomerId {
		Names.check("customer", value);
	}

	@Override
	public int compareTo(CustomerId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
