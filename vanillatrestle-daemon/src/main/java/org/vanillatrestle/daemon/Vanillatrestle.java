package org.vanillatrestle.daemon;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.vanillatrestle.daemon.internal.cli.Command;
import org.vanillatrestle.daemon.internal.cli.ExitCode;
import org.vanillatrestle.daemon.internal.cli.ExplainCommand;
import org.vanillatrestle.daemon.internal.cli.OperatorCommands;
import org.vanillatrestle.daemon.internal.cli.ReplicaFoundCommand;
import org.vanillatrestle.daemon.internal.cli.RunCommand;
import org.vanillatrestle.daemon.internal.cli.SettingsCheckCommand;
import org.vanillatrestle.daemon.internal.logging.LoggingSetup;
import org.vanillatrestle.daemon.internal.settings.LogFormat;

/**
 * Entry point of the command line.
 *
 * <pre>
 * vanillatrestle run --settings sanjose-1.json
 * vanillatrestle settings check --settings sanjose-1.json
 * vanillatrestle contract apply -f contracts/ --server http://127.0.1.1:8080 --key-file operator.key
 * </pre>
 * <p>
 * Stateless and thread safe. Exit codes are those of {@link ExitCode}.
 */
public final class Vanillatrestle {

	/**
	 * The version, as shown by {@code version}.
	 */
	public static final String VERSION = "0.1.0";

	private static final List<Command> COMMANDS = commands();

	private Vanillatrestle() {
	}

	private static List<Command> commands() {
		List<Command> commands = new ArrayList<>();
		commands.add(new RunCommand());
		commands.add(new SettingsCheckCommand());
		commands.add(new ReplicaFoundCommand());
		commands.add(new ExplainCommand());
		commands.addAll(OperatorCommands.all());
		return List.copyOf(commands);
	}

	/**
	 * Runs the command line and exits.
	 * @param args the command-line arguments
	 */
	public static void main(String[] args) {
		LoggingSetup.apply(LogFormat.TEXT, "WARN", System.out);
		System.exit(run(args, System.out, System.err));
	}

	/**
	 * Runs the command line.
	 * @param args the command-line arguments
	 * @param out the stream to which results are written
	 * @param err the stream to which errors are written
	 * @return the exit code
	 */
	public static int run(String[] args, PrintStream out, PrintStream err) {
		if (args.length == 1 && List.of("version", "--version").contains(args[0])) {
			out.println("vanillatrestle " + VERSION);
			return ExitCode.OK.value();
		}
		if (args.length == 0 || List.of("help", "--help").contains(args[0])) {
			printUsage((args.length == 0) ? err : out);
			return (args.length == 0) ? ExitCode.INVALID.value() : ExitCode.OK.value();
		}
		for (Command command : COMMANDS) {
			String[] words = command.name().split(" ");
			if (args.length >= words.length && Arrays.equals(words, Arrays.copyOf(args, words.length))) {
				return command.run(Arrays.copyOfRange(args, words.length, args.length), out, err);
			}
		}
		err.println("vanillatrestle: unknown command '" + String.join(" ", args) + "'.");
		printUsage(err);
		return ExitCode.INVALID.value();
	}

	private static void printUsage(PrintStream stream) {
		stream.println("Usage: vanillatrestle COMMAND [OPTIONS]; see COMMAND --help. Commands:");
		COMMANDS.forEach((command) -> stream.println("  " + command.name()));
		stream.println("  version");
	}

}
