package org.vanillatrestle.daemon.internal.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.util.Arrays;

import org.vanillatrestle.daemon.internal.node.ReplicaFounding;
import org.vanillatrestle.daemon.internal.settings.Settings;

/**
 * {@code replica found}: founds the replicated groups whose first replica this VM is.
 * <p>
 * Run it once in a deployment's life for the contract book and once for each data
 * centre's ledger, before the first {@code run}. It refuses a folder that holds a
 * replica. Stateless and thread safe.
 */
public final class ReplicaFoundCommand implements Command {

	private static final String AFTER_LOSS = "--after-loss";

	@Override
	public String name() {
		return "replica found";
	}

	@Override
	public int run(String[] args, PrintStream out, PrintStream err) {
		boolean afterLoss = Arrays.asList(args).contains(AFTER_LOSS);
		String[] rest = Arrays.stream(args).filter((arg) -> !AFTER_LOSS.equals(arg)).toArray(String[]::new);
		SettingsArgument argument = SettingsArgument.read(name(), rest, out, err);
		if (argument.settings().isEmpty()) {
			return argument.exitCode();
		}
		Settings settings = argument.settings().get();
		try {
			ReplicaFounding.found(settings, afterLoss).forEach((group) -> out.println("Founded: " + group + "."));
			return ExitCode.OK.value();
		}
		catch (IOException ex) {
			err.println("The replica can't be founded. " + ex.getMessage());
			return ExitCode.REFUSED.value();
		}
	}

}
