package org.vanillatrestle.daemon.internal.cli;

import java.io.PrintStream;
import java.nio.file.Path;

import org.vanillatrestle.daemon.internal.pipeline.BearerKeys;

/**
 * {@code keys hash FILE}: prints the SHA-256 hash of a key, as used in contracts and
 * settings.
 * <p>
 * Stateless and thread safe.
 */
final class KeysHashCommand implements Command {

	private static final String USAGE = "Usage: vanillatrestle keys hash FILE"
			+ " (FILE holds one key; white space around it is left out)";

	@Override
	public String name() {
		return "keys hash";
	}

	@Override
	public int run(String[] args, PrintStream out, PrintStream err) {
		if (args.length == 1 && "--help".equals(args[0])) {
			out.println(USAGE);
			return ExitCode.OK.value();
		}
		if (args.length != 1 || args[0].startsWith("-")) {
			err.println(USAGE);
			return ExitCode.INVALID.value();
		}
		try {
			out.println(BearerKeys.sha256(OperatorCommand.readKey(Path.of(args[0]))));
			return ExitCode.OK.value();
		}
		catch (CommandException ex) {
			err.println("vanillatrestle keys hash: " + ex.getMessage());
			return ex.exitCode().value();
		}
	}

}
