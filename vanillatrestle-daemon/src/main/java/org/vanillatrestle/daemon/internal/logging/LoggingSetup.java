package org.vanillatrestle.daemon.internal.logging;

import java.io.OutputStream;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.StreamHandler;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import org.vanillatrestle.daemon.internal.settings.LogFormat;

/**
 * Configures {@code java.util.logging} as the logging backend, with text or JSON lines.
 * This backend is used because its classes are loaded in every process anyway.
 * <p>
 * Must be called once, before the daemon starts.
 */
public final class LoggingSetup {

	// strong references, as loggers that are garbage collected lose their levels
	private static final Logger ROOT_LOGGER;

	private static final Logger PROJECT_LOGGER;

	private static final Logger EVENT_LOGGER;

	static {
		// prevents java.util.logging from reading its default configuration and creating
		// the handlers named there
		System.setProperty("java.util.logging.config.class", NoConfiguration.class.getName());
		System.setProperty("java.util.logging.manager", ShutdownLogManager.class.getName());
		// prevents JBoss Logging and Netty from searching for other backends
		System.setProperty("org.jboss.logging.provider", "jdk");
		InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
		ROOT_LOGGER = Logger.getLogger("");
		PROJECT_LOGGER = Logger.getLogger("org.vanillatrestle");
		EVENT_LOGGER = Logger.getLogger(EventLog.CATEGORY);
	}

	private LoggingSetup() {
	}

	/**
	 * Replaces the backend's configuration.
	 * @param format the format of the lines
	 * @param level the lowest level that is written, for example {@code INFO}
	 * @param output the stream that receives the lines
	 */
	public static void apply(LogFormat format, String level, OutputStream output) {
		Formatter formatter = (format == LogFormat.JSON) ? new JsonFormatter() : new TextFormatter();
		replaceHandlers(new FlushingHandler(output, formatter));
		PROJECT_LOGGER.setLevel(parseLevel(level));
		EVENT_LOGGER.setLevel(parseLevel(level));
	}

	/**
	 * Replaces the backend's configuration by the structured log: JSON lines on standard
	 * output. Lines are dropped if they can't be queued without blocking.
	 * @return the handler, which must be closed last
	 */
	public static BoundedHandler applyStructured() {
		BoundedHandler handler = new BoundedHandler(System.out);
		replaceHandlers(handler);
		EVENT_LOGGER.setLevel(Level.INFO);
		return handler;
	}

	private static void replaceHandlers(Handler handler) {
		for (Handler existing : ROOT_LOGGER.getHandlers()) {
			ROOT_LOGGER.removeHandler(existing);
		}
		handler.setLevel(Level.ALL);
		ROOT_LOGGER.addHandler(handler);
		ROOT_LOGGER.setLevel(Level.WARNING);
	}

	private static Level parseLevel(String name) {
		return switch (name) {
			case "ERROR" -> Level.SEVERE;
			case "WARN" -> Level.WARNING;
			case "DEBUG" -> Level.FINE;
			case "TRACE" -> Level.FINER;
			default -> Level.INFO;
		};
	}

	/**
	 * Flushes the stream after each line.
	 */
	private static final class FlushingHandler extends StreamHandler {

		FlushingHandler(OutputStream output, Formatter formatter) {
			super(output, formatter);
		}

		@Override
		public synchronized void publish(LogRecord event) {
			super.publish(event);
			flush();
		}

	}

	/**
	 * Keeps the handlers while the process shuts down. By default they are removed when
	 * the shutdown begins, so that nothing is logged of the requests still in progress.
	 */
	public static final class ShutdownLogManager extends LogManager {

		@Override
		public void reset() {
			// handlers are replaced by LoggingSetup and closed by their owner
		}

	}

	/**
	 * An empty logging configuration: {@link LoggingSetup} configures what is needed.
	 */
	public static final class NoConfiguration {

	}

}
