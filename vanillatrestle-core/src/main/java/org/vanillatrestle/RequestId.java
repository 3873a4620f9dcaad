package org.vanillatrestle;

/**
 * Identifies a caller's request across VMs, logs and responses.
 * <p>
 * Immutable and thread safe. An id consists of 128 random bits, so that two requests
 * practically never have the same id.
 *
 * @param value 32 hexadecimal digits
 */
public record RequestId(String value) {

	public RequestId {
		if (value == null || value.length() != 32) {
			throw new IllegalArgumentException("A request id must have 32 hexadecimal digits, but is '" + value + "'.");
		}
	}

	/**
	 * Creates an id from 128 random bits.
	 * @param high the high 64 bits
	 * @param low the low 64 bits
	 * @return the id
	 */
	public static RequestId of(long high, long low) {
		return new RequestId(String.format("%016x%016x", high, low));
	}

	@Override
	public String toString() {
		return this.value;
	}

}
