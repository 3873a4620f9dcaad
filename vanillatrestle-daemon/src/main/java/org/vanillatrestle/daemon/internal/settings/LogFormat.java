package org.vanillatrestle.daemon.internal.settings;

/**
 * The format of log lines.
 * <p>
 * Immutable and thread safe.
 */
public enum LogFormat {

	/**
	 * One line of plain text for each event.
	 */
	TEXT,

	/**
	 * One JSON object for each event.
	 */
	JSON

}
