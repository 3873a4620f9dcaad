package org.vanillatrestle;

/**
 * The name of a service within a customer's contract.
 * <p>
 * Immutable and thread safe. The value matches {@link Names#PATTERN} and is therefore
 * never blank.
 *
 * @param value the name, as written in settings and contracts
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

	public ServiceName {
		Names.check("service", value);
	}

	@Override
	public int compareTo(ServiceName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
