package org.vanillatrestle;

/**
 * Names a model that engines serve.
 * <p>
 * Immutable and thread safe. The value is never blank and matches {@link Names#PATTERN}.
 *
 * @param value the name as written in settings and contracts
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
