package org.vanillatrestle.daemon.internal.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.util.Arrays;

import org.vanillatrestle.daemon.internal.node.ReplicaFounding;
import org.vanillatrestle.daemon.internal.settings.Settings;

/**
 * {@code replica found}: creates the replicated groups whose first replica is on this VM.
 * <p>
 * To be run once in the lifetime of a deployment for the contract book and once for the
 * ledger of each data centre, before the first {@code run}. The command refuses a folder
 * that already contains a replica. Stateless and thread safe.
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
		String[] remainingArgs = Arrays.stream(args).filter((arg) -> !AFTER_LOSS.equals(arg)).toArray(String[]::new);
		SettingsArgument argument = SettingsArgument.read(name(), remainingArgs, out, err);
		if (argument.settings().isEmpty()) {
			return argument.exitCode();
		}
		Settings settings = argument.settings().get();
		try {
			ReplicaFounding.found(settings, afterLoss).forEach((group) -> out.println("Founded: " + group + "."));
			return ExitCode.OK.value();
		}
		catch (IOException ex) {
			err.println("The replicated group can't be created. " + ex.getMessage());
			return ExitCode.REFUSED.value();
		}
	}

}
