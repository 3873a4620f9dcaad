package org.vanillatrestle.internal.quarantine;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

import org.vanillatrestle.ServiceName;

/**
 * A part of prompts for one service. A part that crashes the engines of one service may
 * be harmless to those of another.
 * <p>
 * Immutable and thread safe.
 *
 * @param service the service
 * @param part identifies the content of the part, at most {@link #MAX_ID_LENGTH}
 * characters
 */
public record PartKey(ServiceName service, String part) implements Comparable<PartKey> {

	/**
	 * Longest id that is kept as it is. A longer one is replaced by its SHA-256 hash,
	 * which bounds the memory of tables.
	 */
	public static final int MAX_ID_LENGTH = 64;

	/**
	 * Creates the key of a part.
	 * @param service the service
	 * @param id the id of the part, of any length
	 * @return the key
	 */
	static PartKey of(ServiceName service, String id) {
		return new PartKey(service, (id.length() <= MAX_ID_LENGTH) ? id : hash(id));
	}

	private static String hash(String id) {
		try {
			byte[] digest = MessageDigest.getInstance("SHA-256").digest(id.getBytes(StandardCharsets.UTF_8));
			return HexFormat.of().formatHex(digest);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform has SHA-256", ex);
		}
	}

	@Override
	public int compareTo(PartKey other) {
		int byService = this.service.value().compareTo(other.service.value());
		return (byService != 0) ? byService : this.part.compareTo(other.part);
	}

}
