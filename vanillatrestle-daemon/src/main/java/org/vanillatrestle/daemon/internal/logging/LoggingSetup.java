package org.vanillatrestle.daemon.internal.logging;

import java.io.OutputStream;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.StreamHandler;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import org.vanillatrestle.daemon.internal.settings.LogFormat;

/**
 * Sets up the logging backend, {@code java.util.logging}, whose classes a process has
 * loaded anyway: lines as text or JSON.
 * <p>
 * Call once, before the daemon starts.
 */
public final class LoggingSetup {

	// kept from being collected, with their levels
	private static final Logger ROOT;

	private static final Logger OWN;

	private static final Logger EVENTS;

	static {
		// else the default configuration is read and its handlers are made first
		System.setProperty("java.util.logging.config.class", NoConfiguration.class.getName());
		// else JBoss Logging and Netty look for other backends first
		System.setProperty("org.jboss.logging.provider", "jdk");
		InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
		ROOT = Logger.getLogger("");
		OWN = Logger.getLogger("org.vanillatrestle");
		EVENTS = Logger.getLogger(EventLog.CATEGORY);
	}

	private LoggingSetup() {
	}

	/**
	 * Replaces the backend's configuration.
	 * @param format the form of lines
	 * @param level the least level that is written, for example {@code INFO}
	 * @param output where lines go
	 */
	public static void apply(LogFormat format, String level, OutputStream output) {
		Formatter formatter = (format == LogFormat.JSON) ? new JsonFormatter() : new TextFormatter();
		replaceHandlers(new FlushedHandler(output, formatter));
		OWN.setLevel(level(level));
	}

	/**
	 * Replaces the backend's configuration by the structured log: JSON lines on standard
	 * output, which are dropped rather than waited for.
	 * @return the handler, to be closed last
	 */
	public static BoundedHandler applyStructured() {
		BoundedHandler handler = new BoundedHandler(System.out);
		replaceHandlers(handler);
		EVENTS.setLevel(Level.INFO);
		return handler;
	}

	private static void replaceHandlers(Handler handler) {
		for (Handler former : ROOT.getHandlers()) {
			ROOT.removeHandler(former);
		}
		handler.setLevel(Level.ALL);
		ROOT.addHandler(handler);
		ROOT.setLevel(Level.WARNING);
	}

	private static Level level(String name) {
		return switch (name) {
			case "ERROR" -> Level.SEVERE;
			case "WARN" -> Level.WARNING;
			case "DEBUG" -> Level.FINE;
			case "TRACE" -> Level.FINER;
			default -> Level.INFO;
		};
	}

	/**
	 * Writes each line at once.
	 */
	private static final class FlushedHandler extends StreamHandler {

		FlushedHandler(OutputStream output, Formatter formatter) {
			super(output, formatter);
		}

		@Override
		public synchronized void publish(LogRecord event) {
			super.publish(event);
			flush();
		}

	}

	/**
	 * Configures nothing: what is needed is set up here.
	 */
	public static final class NoConfiguration {

	}

}
