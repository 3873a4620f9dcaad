package org.vanillatrestle.daemon.internal.logging;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * Writes one JSON object a line: the structured log as it is, all other lines as an event
 * of their own kind.
 * <p>
 * Stateless and thread safe.
 */
final class JsonFormatter extends Formatter {

	@Override
	public String format(LogRecord event) {
		if (EventLog.CATEGORY.equals(event.getLoggerName())) {
			return event.getMessage() + '\n';
		}
		return EventLog.line(EventKind.MESSAGE, "level", event.getLevel().getName(), "logger", event.getLoggerName(),
				"message", formatMessage(event), "failure", stackTrace(event.getThrown())) + '\n';
	}

	/**
	 * Writes down a failure.
	 * @param thrown the failure, may be null
	 * @return its stack trace, null if there is no failure
	 */
	static String stackTrace(Throwable thrown) {
		if (thrown == null) {
			return null;
		}
		StringWriter text = new StringWriter();
		thrown.printStackTrace(new PrintWriter(text, true));
		return text.toString();
	}

}
