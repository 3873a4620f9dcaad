package org.vanillatrestle;

import java.util.regex.Pattern;

/**
 * Validates the names of regions, customers, VMs and other named entities.
 * <p>
 * Stateless and thread safe.
 */
public final class Names {

	/**
	 * The pattern of a valid name: 1 to 63 letters, digits, dots, underscores or hyphens,
	 * starting with a letter or digit.
	 */
	public static final Pattern PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");

	private static final int MAX_LENGTH = 63;

	private Names() {
	}

	/**
	 * Returns whether a value is a valid name, that is, matches {@link #PATTERN}. Names
	 * are checked by hand, as each message of another VM holds many of them.
	 * @param value the value, may be {@code null}
	 * @return whether the value is valid
	 */
	public static boolean isValid(String value) {
		if (value == null || value.isEmpty() || value.length() > MAX_LENGTH || !isLetterOrDigit(value.charAt(0))) {
			return false;
		}
		for (int i = 1; i < value.length(); i++) {
			char character = value.charAt(i);
			if (!isLetterOrDigit(character) && character != '.' && character != '_' && character != '-') {
				return false;
			}
		}
		return true;
	}

	private static boolean isLetterOrDigit(char character) {
		return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
				|| (character >= '0' && character <= '9');
	}

	static void check(String kind, String value) {
		if (!isValid(value)) {
			throw new IllegalArgumentException("The " + kind + " name '" + value
					+ "' is not valid. A name has 1 to 63 letters, digits, dots, underscores or hyphens"
					+ " and starts with a letter or digit, for example 'frankfurt-1'.");
		}
	}

}
