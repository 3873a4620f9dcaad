package org.vanillatrestle;

/**
 * A rule of a contract for the calls of a plain service that match a method and a path.
 * <p>
 * Immutable and thread safe.
 *
 * @param method the HTTP method in upper case
 * @param path the path relative to the service, starting with a slash; a trailing
 * {@code *} matches any remaining characters
 * @param repeat whether a call may be run more than once
 * @param keyRequired whether an {@code AT_MOST_ONCE} call requires an
 * {@code Idempotency-Key}; if it does not, a call without a key is dispatched once and
 * never retried
 */
public record CallRule(String method, String path, Repeat repeat, boolean keyRequired) {

	/**
	 * Returns whether the rule applies to a call.
	 * @param callMethod the HTTP method of the call in upper case
	 * @param callPath the path of the call relative to the service, without the query
	 * @return whether the rule applies
	 */
	public boolean matches(String callMethod, String callPath) {
		if (!this.method.equals(callMethod)) {
			return false;
		}
		if (this.path.endsWith("*")) {
			return callPath.startsWith(this.path.substring(0, this.path.length() - 1));
		}
		return this.path.equals(callPath);
	}

}
