package org.vanillatrestle.internal.once;

import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.vanillatrestle.DataCentreId;

/**
 * The form of issued keys: {@code dataCentre.generation.} and what the caller adds.
 * <p>
 * Immutable and thread safe.
 */
public final class IssuedKeys {

	private static final Pattern GENERATION = Pattern.compile("([1-9][0-9]{0,17})\\..+");

	private final String dataCentrePrefix;

	/**
	 * Creates the form for one data centre.
	 * @param dataCentre the data centre
	 */
	public IssuedKeys(DataCentreId dataCentre) {
		this.dataCentrePrefix = dataCentre.value() + ".";
	}

	/**
	 * Returns the prefix that callers are given.
	 * @param generation the generation
	 * @return the prefix, ending in a dot
	 */
	public String prefix(long generation) {
		return this.dataCentrePrefix + generation + ".";
	}

	/**
	 * Reads the generation of a key.
	 * @param key the {@code Idempotency-Key}
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
