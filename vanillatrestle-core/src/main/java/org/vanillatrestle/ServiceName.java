package org.vanillatrestle;

/**
 * Names a service within a customer's contract.
 * <p>
 * Immutable and thread safe. The value is never blank and matches {@link Names#PATTERN}.
 *
 * @param value the name as written in settings and contracts
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
