package org.vanillatrestle.internal.book;

import java.util.Set;

import org.vanillatrestle.CallerName;
import org.vanillatrestle.RegionId;

/**
 * What a customer's caller is bound to for ever, also after it was removed.
 * <p>
 * Immutable and thread safe.
 *
 * @param name the caller's name
 * @param home the home region
 * @param keys the SHA-256 of every key that the caller ever had
 */
public record CallerRecord(CallerName name, RegionId home, Set<String> keys) {

	public CallerRecord {
		keys = Set.copyOf(keys);
	}

}
