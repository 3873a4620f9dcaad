package org.vanillatrestle.internal.request;

import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.internal.target.Announcement;

/**
 * The destination of the next attempt of a request.
 * <p>
 * Immutable and thread safe.
 */
public sealed interface Placement permits Placement.Local, Placement.Forward, Placement.None {

	/**
	 * The attempt goes to a target of this data centre.
	 *
	 * @param target the target's latest announcement
	 */
	record Local(Announcement target) implements Placement {

	}

	/**
	 * The attempt goes to an entry VM of another data centre in an allowed region.
	 *
	 * @param region the region
	 * @param dataCentre the data centre
	 */
	record Forward(RegionId region, DataCentreId dataCentre) implements Placement {

	}

	/**
	 * The request cannot be placed.
	 *
	 * @param reason the reason
	 * @param retryAfterMillis the time after which the caller should retry, in
	 * milliseconds
	 */
	record None(RefusalReason reason, long retryAfterMillis) implements Placement {

	}

}
