package org.vanillatrestle.internal.book;

import java.util.Set;

import org.vanillatrestle.CallerName;
import org.vanillatrestle.RegionId;

/**
 * The home region and bearer keys that remain assigned to a caller permanently, even
 * after its removal.
 * <p>
 * Immutable and thread safe.
 *
 * @param name the caller's name
 * @param homeRegion the home region
 * @param keys the SHA-256 of every bearer key that the caller has or had
 */
public record CallerRecord(CallerName name, RegionId homeRegion, Set<String> keys) {

	public CallerRecord {
		keys = Set.copyOf(keys);
	}

}
