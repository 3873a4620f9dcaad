package org.vanillatrestle.daemon.internal.pipeline;

import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.internal.target.Announcement;

/**
 * Where the next attempt of a request goes.
 * <p>
 * Immutable and thread safe.
 */
public sealed interface Route {

	/**
	 * To a target of this data centre.
	 *
	 * @param target the target
	 */
	record Local(Announcement target) implements Route {

	}

	/**
	 * To a VM of another data centre, which chooses the target.
	 *
	 * @param dataCentre the data centre
	 */
	record Forward(DataCentreId dataCentre) implements Route {

	}

	/**
	 * Nowhere.
	 *
	 * @param reason why, for the error message
	 * @param retryAfterMillis when to come back
	 */
	record Nowhere(String reason, long retryAfterMillis) implements Route {

	}

}
