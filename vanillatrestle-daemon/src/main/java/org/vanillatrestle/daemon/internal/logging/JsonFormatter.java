package org.vanillatrestle.daemon.internal.logging;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * Formats each log record as one line of JSON. Events of the structured log are written
 * unchanged; all other records become events of the kind {@link EventKind#MESSAGE}.
 * <p>
 * Stateless and thread safe.
 */
final class JsonFormatter extends Formatter {

	@Override
	public String format(LogRecord event) {
		if (EventLog.CATEGORY.equals(event.getLoggerName())) {
			return event.getMessage() + '\n';
		}
		return EventLog.formatLine(EventKind.MESSAGE, "level", event.getLevel().getName(), "logger",
				event.getLoggerName(), "message", formatMessage(event), "failure", stackTrace(event.getThrown()))
				+ '\n';
	}

	/**
	 * Formats the stack trace of an exception.
	 * @param thrown the exception, may be null
	 * @return its stack trace, or null if there is no exception
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
