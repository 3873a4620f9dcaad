package org.vanillatrestle;

/**
 * The name of a caller within a customer's contract.
 * <p>
 * Immutable and thread safe. The value matches {@link Names#PATTERN} and is therefore
 * never blank.
 *
 * @param value the name, as written in settings and contracts
 */
public record CallerName(String value) implements Comparable<CallerName> {

	public CallerName {
		Names.check("caller", value);
	}

	@Override
	public int compareTo(CallerName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
