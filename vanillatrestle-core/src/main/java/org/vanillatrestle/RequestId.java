package org.vanillatrestle;

/**
 * Identifies one caller's request across VMs, logs and answers.
 * <p>
 * Immutable and thread safe. Unique with overwhelming probability: 128 random bits.
 *
 * @param value 32 hexadecimal digits
 */
public record RequestId(String value) {

	public RequestId {
		if (value == null || value.length() != 32) {
			throw new IllegalArgumentException("A request id has 32 hexadecimal digits, not '" + value + "'.");
		}
	}

	/**
	 * Creates an id from 128 random bits.
	 * @param high the upper 64 bits
	 * @param low the lower 64 bits
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
