package org.vanillatrestle;

/**
 * Identifies a call that may run at most once: the key is the caller's own, scoped by
 * customer and caller.
 * <p>
 * Immutable and thread safe.
 *
 * @param customer the customer
 * @param caller the caller within the customer's contract
 * @param key the {@code Idempotency-Key} as sent, 1 to 200 printable ASCII characters
 */
public record OnceKey(CustomerId customer, CallerName caller, String key) {

	/**
	 * The longest accepted {@code Idempotency-Key}, in characters.
	 */
	public static final int MAX_LENGTH = 200;

	public OnceKey {
		if (!isValid(key)) {
			throw new IllegalArgumentException(
					"An Idempotency-Key has 1 to 200 printable ASCII characters without spaces,"
							+ " for example 'payout-2026-11-kavre-17'.");
		}
	}

	/**
	 * Tells whether a header value may be used as a key.
	 * @param key the header's value, may be {@code null}
	 * @return whether the value follows the rule
	 */
	public static boolean isValid(String key) {
		if (key == null || key.isEmpty() || key.length() > MAX_LENGTH) {
			return false;
		}
		return key.chars().allMatch((c) -> c > ' ' && c < 127);
	}

	@Override
	public String toString() {
		return this.customer + "/" + this.caller + "/" + this.key;
	}

}
