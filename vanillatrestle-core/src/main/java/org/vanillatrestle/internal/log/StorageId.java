package org.vanillatrestle.internal.log;

import java.util.Objects;

/**
 * Identifies a data folder for its whole lifetime. It is chosen at random when the folder
 * is created, and never reused after the folder was lost or emptied.
 * <p>
 * Immutable and thread safe.
 *
 * @param value the id as text, never blank
 */
public record StorageId(String value) implements Comparable<StorageId> {

	/**
	 * Addresses any storage of the receiving VM; used when the sender does not know the
	 * receiver's storage.
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
