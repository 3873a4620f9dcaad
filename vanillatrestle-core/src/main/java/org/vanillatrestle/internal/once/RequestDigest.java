package org.vanillatrestle.internal.once;

import java.nio.ByteBuffer;

/**
 * SHA-256 digest of a request's method, path, query and body, computed by the entry VM.
 * <p>
 * Immutable and thread safe.
 *
 * @param first bytes 0 to 7
 * @param second bytes 8 to 15
 * @param third bytes 16 to 23
 * @param fourth bytes 24 to 31
 */
public record RequestDigest(long first, long second, long third, long fourth) {

	/**
	 * The size of a digest, in bytes.
	 */
	public static final int SIZE_BYTES = 32;

	/**
	 * Creates a digest from its bytes.
	 * @param bytes the digest's 32 bytes
	 * @return the digest
	 * @throws IllegalArgumentException if the array does not have 32 bytes
	 */
	public static RequestDigest of(byte[] bytes) {
		if (bytes.length != SIZE_BYTES) {
			throw new IllegalArgumentException("A digest must have 32 bytes, but has " + bytes.length + ".");
		}
		ByteBuffer buffer = ByteBuffer.wrap(bytes);
		return new RequestDigest(buffer.getLong(), buffer.getLong(), buffer.getLong(), buffer.getLong());
	}

	/**
	 * Returns the digest as bytes.
	 * @return a new array of 32 bytes
	 */
	public byte[] toBytes() {
		return ByteBuffer.allocate(SIZE_BYTES)
			.putLong(this.first)
			.putLong(this.second)
			.putLong(this.third)
			.putLong(this.fourth)
			.array();
	}

}
