package org.vanillatrestle;

import java.util.regex.Pattern;

/**
 * The rule for names of regions, customers, VMs and the like.
 * <p>
 * Stateless and thread safe.
 */
public final class Names {

	/**
	 * A name: 1 to 63 characters, beginning with a letter or digit.
	 */
	public static final Pattern PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");

	private Names() {
	}

	/**
	 * Tells whether a value may be used as a name.
	 * @param value the candidate, may be {@code null}
	 * @return whether the value follows the rule
	 */
	public static boolean isValid(String value) {
		return value != null && PATTERN.matcher(value).matches();
	}

	static void check(String kind, String value) {
		if (!isValid(value)) {
			throw new IllegalArgumentException("The " + kind + " name '" + value
					+ "' is not valid. A name has 1 to 63 letters, digits, dots, underscores or hyphens"
					+ " and begins with a letter or digit, for example 'frankfurt-1'.");
		}
	}

}
