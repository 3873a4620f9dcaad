package org.vanillatrestle.daemon.internal.operator;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * An operator's HTTP request.
 * <p>
 * Immutable and thread safe.
 *
 * @param method the method in upper case
 * @param path the path without a query
 * @param query the query without its question mark, empty if there is none
 * @param key the bearer key, if one was sent
 * @param body the body, empty if there is none
 */
public record OperatorRequest(String method, String path, String query, Optional<String> key, String body) {

	/**
	 * Returns the first value of a query parameter.
	 * @param name the parameter's name
	 * @return its value, or empty if it is absent
	 */
	Optional<String> parameter(String name) {
		for (String pair : this.query.split("&")) {
			if (pair.startsWith(name + "=")) {
				return Optional.of(decode(pair.substring(name.length() + 1)));
			}
		}
		return Optional.empty();
	}

	private static String decode(String value) {
		try {
			return URLDecoder.decode(value, StandardCharsets.UTF_8);
		}
		catch (IllegalArgumentException ex) {
			return value;
		}
	}

}
