package org.vanillatrestle.internal.log;

import java.util.Objects;

/**
 * Identifies one data folder for its whole life: chosen at random when the folder is
 * created, never used again after the folder was lost or emptied.
 * <p>
 * Immutable and thread safe.
 *
 * @param value the id as text, never blank
 */
public record StorageId(String value) implements Comparable<StorageId> {

	/**
	 * Stands in the address of a message whose sender does not know the receiver's
	 * storage.
	 */
	public static final StorageId ANY = new StorageId("any");

	public StorageId {
		Objects.requireNonNull(value, "value");
		if (value.isBlank()) {
			throw new IllegalArgumentException("a storage id must not be blank");
		}
	}

	@Override
	public int compareTo(StorageId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
