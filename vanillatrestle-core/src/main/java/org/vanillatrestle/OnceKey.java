package org.vanillatrestle;

/**
 * Identifies a call that must run at most once. The key is chosen by the caller and
 * scoped by customer and caller.
 * <p>
 * Immutable and thread safe.
 *
 * @param customer the customer
 * @param caller the caller within the customer's contract
 * @param key the {@code Idempotency-Key} as sent, 1 to 200 printable ASCII characters
 * without spaces
 */
public record OnceKey(CustomerId customer, CallerName caller, String key) {

	/**
	 * The maximum length of an {@code Idempotency-Key}, in characters.
	 */
	public static final int MAX_LENGTH_CHARACTERS = 200;

	public OnceKey {
		if (!isValid(key)) {
			throw new IllegalArgumentException(
					"An Idempotency-Key must have 1 to 200 printable ASCII characters without spaces,"
							+ " for example 'payout-2026-11-kavre-17'.");
		}
	}

	/**
	 * Returns whether a header value is a valid key.
	 * @param key the value of the header, may be {@code null}
	 * @return whether the value is valid
	 */
	public static boolean isValid(String key) {
		if (key == null || key.isEmpty() || key.length() > MAX_LENGTH_CHARACTERS) {
			return false;
		}
		return key.chars().allMatch((c) -> c > ' ' && c < 127);
	}

	@Override
	public String toString() {
		return this.customer + "/" + this.caller + "/" + this.key;
	}

}
