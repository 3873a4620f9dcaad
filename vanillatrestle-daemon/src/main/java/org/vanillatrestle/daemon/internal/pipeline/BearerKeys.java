package org.vanillatrestle.daemon.internal.pipeline;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;

/**
 * Reads bearer keys from headers and hashes them.
 * <p>
 * Stateless and thread safe. Keys are never logged.
 */
public final class BearerKeys {

	private static final String SCHEME_PREFIX = "Bearer ";

	private BearerKeys() {
	}

	/**
	 * Reads the key from an {@code Authorization} header.
	 * @param header the header's value; may be {@code null}
	 * @return the key, or empty if there is none
	 */
	public static Optional<String> fromHeader(String header) {
		if (header == null || !header.regionMatches(true, 0, SCHEME_PREFIX, 0, SCHEME_PREFIX.length())) {
			return Optional.empty();
		}
		String key = header.substring(SCHEME_PREFIX.length()).trim();
		return key.isEmpty() ? Optional.empty() : Optional.of(key);
	}

	/**
	 * Hashes a string with SHA-256.
	 * @param text the string, hashed in UTF-8
	 * @return 64 lower-case hexadecimal digits
	 */
	public static String sha256(String text) {
		return HexFormat.of().formatHex(sha256(text.getBytes(StandardCharsets.UTF_8)));
	}

	/**
	 * Hashes bytes with SHA-256.
	 * @param parts the byte arrays, hashed in order as if concatenated
	 * @return the hash, 32 bytes
	 */
	public static byte[] sha256(byte[]... parts) {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			for (byte[] part : parts) {
				digest.update(part);
			}
			return digest.digest();
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 must be supported by every Java platform.", ex);
		}
	}

	/**
	 * Compares two hashes in constant time.
	 * @param left one hash
	 * @param right the other hash
	 * @return whether they are equal
	 */
	public static boolean isSameHash(String left, String right) {
		return MessageDigest.isEqual(left.getBytes(StandardCharsets.US_ASCII),
				right.getBytes(StandardCharsets.US_ASCII));
	}

}
