package org.vanillatrestle.internal.once;

import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.vanillatrestle.DataCentreId;

/**
 * Format of the keys that a data centre issues: {@code dataCentre.generation.} followed
 * by a suffix that the caller chooses.
 * <p>
 * Immutable and thread safe.
 */
public final class IssuedKeys {

	private static final Pattern GENERATION = Pattern.compile("([1-9][0-9]{0,17})\\..+");

	private final String dataCentrePrefix;

	/**
	 * Creates the format for one data centre.
	 * @param dataCentre the data centre
	 */
	public IssuedKeys(DataCentreId dataCentre) {
		this.dataCentrePrefix = dataCentre.value() + ".";
	}

	/**
	 * Returns the key prefix of a generation.
	 * @param generation the generation
	 * @return the prefix, including the trailing dot
	 */
	public String prefix(long generation) {
		return this.dataCentrePrefix + generation + ".";
	}

	/**
	 * Parses the generation of a key.
	 * @param key the value of the {@code Idempotency-Key} header
	 * @return the generation, or empty if the key was not issued by this data centre
	 */
	public OptionalLong generation(String key) {
		if (!key.startsWith(this.dataCentrePrefix)) {
			return OptionalLong.empty();
		}
		Matcher matcher = GENERATION.matcher(key.substring(this.dataCentrePrefix.length()));
		return matcher.matches() ? OptionalLong.of(Long.parseLong(matcher.group(1))) : OptionalLong.empty();
	}

}
