package org.vanillatrestle.internal.target;

/**
 * What became of an announcement.
 * <p>
 * Immutable and thread safe.
 */
public enum AnnouncementOutcome {

	/**
	 * The announcement is in force.
	 */
	ACCEPTED,

	/**
	 * A newer announcement of the same incarnation is in force already.
	 */
	STALE,

	/**
	 * The target has announced a later incarnation.
	 */
	OLDER_INCARNATION,

	/**
	 * The target stands in another data centre.
	 */
	WRONG_DATA_CENTRE

}
