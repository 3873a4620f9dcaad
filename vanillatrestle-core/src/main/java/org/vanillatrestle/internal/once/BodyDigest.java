package org.vanillatrestle.internal.once;

import java.nio.ByteBuffer;

/**
 * The SHA-256 of a request: of its method, path and body, as the entry VM computes it.
 * <p>
 * Immutable and thread safe.
 *
 * @param first bytes 0 to 7
 * @param second bytes 8 to 15
 * @param third bytes 16 to 23
 * @param fourth bytes 24 to 31
 */
public record BodyDigest(long first, long second, long third, long fourth) {

	/**
	 * The size of a digest, in bytes.
	 */
	public static final int SIZE_BYTES = 32;

	/**
	 * Reads a digest.
	 * @param bytes the digest's 32 bytes
	 * @return the digest
	 * @throws IllegalArgumentException if the size is wrong
	 */
	public static BodyDigest of(byte[] bytes) {
		if (bytes.length != SIZE_BYTES) {
			throw new IllegalArgumentException("A digest has 32 bytes, not " + bytes.length + ".");
		}
		ByteBuffer buffer = ByteBuffer.wrap(bytes);
		return new BodyDigest(buffer.getLong(), buffer.getLong(), buffer.getLong(), buffer.getLong());
	}

	/**
	 * Returns the digest as bytes.
	 * @return 32 new bytes
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
