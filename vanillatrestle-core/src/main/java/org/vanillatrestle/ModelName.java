package org.vanillatrestle;

/**
 * The name of a model that model engines serve.
 * <p>
 * Immutable and thread safe. The value matches {@link Names#PATTERN} and is therefore
 * never blank.
 *
 * @param value the name, as written in settings and contracts
 */
public record ModelName(String value) implements Comparable<ModelName> {

	public ModelName {
		Names.check("model", value);
	}

	@Override
	public int compareTo(ModelName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
