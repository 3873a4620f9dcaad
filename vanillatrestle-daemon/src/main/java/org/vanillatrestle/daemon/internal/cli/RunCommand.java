package org.vanillatrestle.daemon.internal.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;

import org.vanillatrestle.daemon.Node;
import org.vanillatrestle.daemon.internal.logging.LoggingSetup;
import org.vanillatrestle.daemon.internal.settings.Settings;

/**
 * {@code run}: runs the daemon until the process receives a signal to stop.
 * <p>
 * On SIGTERM and SIGINT the daemon shuts down gracefully and the process exits with 0.
 */
public final class RunCommand implements Command {

	@Override
	public String name() {
		return "run";
	}

	@Override
	public int run(String[] args, PrintStream out, PrintStream err) {
		SettingsArgument argument = SettingsArgument.read(name(), args, out, err);
		if (argument.settings().isEmpty()) {
			return argument.exitCode();
		}
		Settings settings = argument.settings().get();
		LoggingSetup.apply(settings.logFormat(), settings.logLevel(), System.out);
		try {
			Node node = Node.start(settings);
			Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node), "vanillatrestle-shutdown"));
			new CountDownLatch(1).await();
		}
		catch (IOException ex) {
			err.println("The daemon can't start. " + ex.getMessage());
			return ExitCode.INVALID.value();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		return ExitCode.OK.value();
	}

	private static void stop(Node node) {
		node.close();
		Runtime.getRuntime().halt(ExitCode.OK.value());
	}

}
