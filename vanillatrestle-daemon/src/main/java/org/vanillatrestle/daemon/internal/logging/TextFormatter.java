package org.vanillatrestle.daemon.internal.logging;

import java.time.ZoneId;
import java.time.format.DateTimeFormatter;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * Writes a line of plain text for each event, followed by the stack trace of a failure.
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
