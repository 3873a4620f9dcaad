package org.vanillatrestle.internal.log;

import java.util.Objects;

/**
 * Identifies a group of replicas. The founder chooses it at random. Messages from another
 * group are dropped, so that two groups founded by mistake never mix.
 * <p>
 * Immutable and thread safe.
 *
 * @param value the id as text, never blank
 */
public record GroupId(String value) {

	/**
	 * The group id of a replica that has not joined a group yet.
	 */
	public static final GroupId NONE = new GroupId("none");

	public GroupId {
		Objects.requireNonNull(value, "value");
		if (value.isBlank()) {
			throw new IllegalArgumentException("a group id must not be blank");
		}
	}

	@Override
	public String toString() {
		return this.value;
	}

}
