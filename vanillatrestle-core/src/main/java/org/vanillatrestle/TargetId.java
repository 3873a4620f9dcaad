package org.vanillatrestle;

/**
 * Identifies a target: a model engine or an instance of a plain service.
 * <p>
 * Immutable and thread safe. The value matches {@link Names#PATTERN} and is therefore
 * never blank.
 *
 * @param value the name, as written in settings and contracts
 */
public record TargetId(String value) implements Comparable<TargetId> {

	public TargetId {
		Names.check("target", value);
	}

	@Override
	public int compareTo(TargetId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
