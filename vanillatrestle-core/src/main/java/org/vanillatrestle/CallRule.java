package org.vanillatrestle;

/**
 * What a contract says of calls of a plain service with one method and path.
 * <p>
 * Immutable and thread safe.
 *
 * @param method the HTTP method in upper case
 * @param path the path below the service, beginning with a slash; a final {@code *}
 * stands for any rest
 * @param repeat whether the call may run more than once
 * @param keyRequired whether an {@code AT_MOST_ONCE} call needs an
 * {@code Idempotency-Key}; without one it is dispatched once and never retried
 */
public record CallRule(String method, String path, Repeat repeat, boolean keyRequired) {

	/**
	 * Tells whether the rule speaks of a call.
	 * @param callMethod the call's HTTP method in upper case
	 * @param callPath the call's path below the service, without a query
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
