package org.vanillatrestle.daemon.internal.pipeline;

import io.netty.handler.codec.http.QueryStringDecoder;

/**
 * Converts paths to the canonical form against which contract rules are matched, so that
 * no alternative encoding of a path bypasses its rule.
 * <p>
 * Stateless and thread safe.
 */
final class PathNormalizer {

	private PathNormalizer() {
	}

	/**
	 * Decodes a path.
	 * @param path the path as received
	 * @return the decoded path
	 * @throws RefusedException if the path has dot segments, empty segments, encoded
	 * slashes, backslashes, control characters or invalid escape sequences
	 */
	static String normalize(String path) throws RefusedException {
		String decoded;
		try {
			decoded = QueryStringDecoder.decodeComponent(path.replace("+", "%2B"));
		}
		catch (IllegalArgumentException ex) {
			throw invalidPath();
		}
		boolean encodedSlash = countSlashes(decoded) != countSlashes(path) || decoded.indexOf('\\') >= 0;
		if (encodedSlash || decoded.contains("//") || hasDotSegment(decoded) || hasControlCharacter(decoded)) {
			throw invalidPath();
		}
		return decoded;
	}

	private static long countSlashes(String path) {
		return path.chars().filter((c) -> c == '/').count();
	}

	private static boolean hasDotSegment(String path) {
		for (String segment : path.split("[/;]")) {
			if (".".equals(segment) || "..".equals(segment)) {
				return true;
			}
		}
		return false;
	}

	private static boolean hasControlCharacter(String path) {
		return path.chars().anyMatch((c) -> c < ' ' || c == 127);
	}

	private static RefusedException invalidPath() {
		return new RefusedException(Refusals.badRequest("PATH_INVALID",
				"The path has dot segments, empty segments, encoded slashes, control characters or invalid escape sequences."
						+ " Send it in plain form, for example /ledger/balances/17."));
	}

}
