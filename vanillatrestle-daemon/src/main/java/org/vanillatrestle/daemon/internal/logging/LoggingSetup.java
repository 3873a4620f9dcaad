package org.vanillatrestle.daemon.internal.logging;

import java.nio.charset.StandardCharsets;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import org.slf4j.LoggerFactory;
import org.vanillatrestle.daemon.internal.settings.LogFormat;

/**
 * Sets up the logging backend: lines on standard output, as text or JSON.
 * <p>
 * Call once, before the daemon starts.
 */
public final class LoggingSetup {

	private static final String PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %msg%n%ex";

	private LoggingSetup() {
	}

	/**
	 * Replaces the backend's configuration.
	 * @param format the form of lines
	 * @param level the least level that is written, for example {@code INFO}
	 */
	public static void apply(LogFormat format, String level) {
		LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
		context.reset();
		ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
		appender.setContext(context);
		appender.setEncoder(encoder(format, context));
		appender.start();
		Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
		root.setLevel(Level.WARN);
		root.addAppender(appender);
		context.getLogger("org.vanillatrestle").setLevel(Level.toLevel(level));
	}

	/**
	 * Replaces the backend's configuration by the structured log: JSON lines on standard
	 * output, which are dropped rather than waited for.
	 * @return the appender, to be stopped last
	 */
	public static BoundedAppender applyStructured() {
		LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
		context.reset();
		PatternLayoutEncoder events = new PatternLayoutEncoder();
		events.setContext(context);
		events.setCharset(StandardCharsets.UTF_8);
		events.setPattern("%msg%n");
		events.start();
		BoundedAppender appender = new BoundedAppender(System.out, events, encoder(LogFormat.JSON, context));
		appender.setContext(context);
		appender.start();
		Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
		root.setLevel(Level.WARN);
		root.addAppender(appender);
		context.getLogger(EventLog.CATEGORY).setLevel(Level.INFO);
		return appender;
	}

	private static Encoder<ILoggingEvent> encoder(LogFormat format, LoggerContext context) {
		if (format == LogFormat.JSON) {
			JsonEncoder encoder = new JsonEncoder();
			encoder.setContext(context);
			encoder.start();
			return encoder;
		}
		PatternLayoutEncoder encoder = new PatternLayoutEncoder();
		encoder.setContext(context);
		encoder.setCharset(StandardCharsets.UTF_8);
		encoder.setPattern(PATTERN);
		encoder.start();
		return encoder;
	}

}
