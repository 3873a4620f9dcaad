package org.vanillatrestle.daemon.internal.cli;

import java.io.PrintStream;

import org.vanillatrestle.daemon.internal.settings.Settings;

/**
 * {@code settings check}: validates a settings file without starting the daemon.
 * <p>
 * Stateless and thread safe.
 */
public final class SettingsCheckCommand implements Command {

	@Override
	public String name() {
		return "settings check";
	}

	@Override
	public int run(String[] args, PrintStream out, PrintStream err) {
		SettingsArgument argument = SettingsArgument.read(name(), args, out, err);
		if (argument.settings().isEmpty()) {
			return argument.exitCode();
		}
		Settings settings = argument.settings().get();
		out.println("The settings are valid: VM " + settings.self().id() + " of " + settings.vms().size() + ", roles "
				+ settings.self().roles() + ".");
		return ExitCode.OK.value();
	}

}
