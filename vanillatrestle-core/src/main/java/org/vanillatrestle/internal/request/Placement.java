package org.vanillatrestle.internal.request;

import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.internal.target.Announcement;

/**
 * Where the next attempt of a request goes.
 * <p>
 * Immutable and thread safe.
 */
public sealed interface Placement permits Placement.Local, Placement.Forward, Placement.None {

	/**
	 * To a target of this data centre.
	 *
	 * @param target the target's last announcement
	 */
	record Local(Announcement target) implements Placement {

	}

	/**
	 * To an entry VM of another data centre in an allowed region.
	 *
	 * @param region the region
	 * @param dataCentre the data centre
	 */
	record Forward(RegionId region, DataCentreId dataCentre) implements Placement {

	}

	/**
	 * Nowhere.
	 *
	 * @param reason why
	 * @param retryAfterMillis when another attempt makes sense, in milliseconds
	 */
	record None(RefusalReason reason, long retryAfterMillis) implements Placement {

	}

}
