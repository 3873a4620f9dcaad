package org.vanillatrestle.internal.target;

/**
 * The result of processing an announcement.
 * <p>
 * Immutable and thread safe.
 */
public enum AnnouncementOutcome {

	/**
	 * The announcement was accepted.
	 */
	ACCEPTED,

	/**
	 * An equally new or newer announcement of the same incarnation was accepted before.
	 */
	STALE,

	/**
	 * The target has already announced a later incarnation.
	 */
	OLDER_INCARNATION,

	/**
	 * The target runs in another data centre.
	 */
	WRONG_DATA_CENTRE

}
