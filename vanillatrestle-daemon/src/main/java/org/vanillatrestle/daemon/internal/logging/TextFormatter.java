package org.vanillatrestle.daemon.internal.logging;

import java.time.ZoneId;
import java.time.format.DateTimeFormatter;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * Formats each log record as one line of plain text, followed by the stack trace of its
 * exception, if any.
 * <p>
 * Stateless and thread safe.
 */
final class TextFormatter extends Formatter {

	private static final DateTimeFormatter TIME = DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss.SSSXXX")
		.withZone(ZoneId.systemDefault());

	@Override
	public String format(LogRecord event) {
		String trace = JsonFormatter.stackTrace(event.getThrown());
		return TIME.format(event.getInstant()) + ' ' + event.getLevel().getName() + ' ' + formatMessage(event) + '\n'
				+ ((trace != null) ? trace : "");
	}

}
