package org.vanillatrestle.daemon.internal.logging;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import org.jboss.logging.Logger;

/**
 * The structured log, written to standard output with one JSON object per line.
 * <p>
 * Thread safe and never blocks. Callers must not log keys, request or response bodies, or
 * prompts.
 */
public final class EventLog {

	/**
	 * The logger category whose messages are already JSON and are written unchanged.
	 */
	public static final String CATEGORY = "vanillatrestle.events";

	private static final Logger logger = Logger.getLogger(CATEGORY);

	private EventLog() {
	}

	/**
	 * Writes an event.
	 * @param kind the kind of event
	 * @param fields alternating field names and values; fields whose value is null are
	 * omitted
	 */
	public static void write(EventKind kind, Object... fields) {
		if (!logger.isInfoEnabled()) {
			return;
		}
		logger.info(formatLine(kind, fields));
	}

	static String formatLine(EventKind kind, Object... fields) {
		StringBuilder line = new StringBuilder(192);
		line.append("{\"time\":").append(System.currentTimeMillis());
		line.append(",\"event\":\"").append(kind.label()).append('"');
		for (int i = 0; i + 1 < fields.length; i += 2) {
			if (fields[i + 1] != null) {
				line.append(",\"").append(fields[i]).append("\":");
				appendValue(line, fields[i + 1]);
			}
		}
		return line.append('}').toString();
	}

	private static void appendValue(StringBuilder line, Object value) {
		if (value instanceof Number || value instanceof Boolean) {
			line.append(value);
			return;
		}
		line.append('"');
		JsonStringEncoder.getInstance().quoteAsString(value.toString(), line);
		line.append('"');
	}

}
