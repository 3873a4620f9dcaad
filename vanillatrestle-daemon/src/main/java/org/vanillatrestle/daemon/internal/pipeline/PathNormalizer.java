package org.vanillatrestle.daemon.internal.pipeline;

import io.netty.handler.codec.http.QueryStringDecoder;

/**
 * Brings paths into the one form in which contracts' rules are matched, so that no other
 * spelling of a path escapes its rule.
 * <p>
 * Stateless and thread safe.
 */
final class PathNormalizer {

	private PathNormalizer() {
	}

	/**
	 * Decodes a path.
	 * @param path the path as sent
	 * @return the decoded path
	 * @throws RefusedException if the path has dot segments, empty segments, encoded
	 * slashes or broken escapes
	 */
	static String normalize(String path) throws RefusedException {
		String decoded;
		try {
			decoded = QueryStringDecoder.decodeComponent(path.replace("+", "%2B"));
		}
		catch (IllegalArgumentException ex) {
			throw refused();
		}
		boolean encodedSlash = count(decoded) != count(path) || decoded.indexOf('\\') >= 0;
		if (encodedSlash || decoded.contains("//") || hasDotSegment(decoded) || hasControl(decoded)) {
			throw refused();
		}
		return decoded;
	}

	private static long count(String path) {
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

	private static boolean hasControl(String path) {
		return path.chars().anyMatch((c) -> c < ' ' || c == 127);
	}

	private static RefusedException refused() {
		return new RefusedException(Refusals.badRequest("PATH_INVALID",
				"The path has dot segments, empty segments, encoded slashes or broken escapes."
						+ " Write it plainly, for example /ledger/balances/17."));
	}

}
