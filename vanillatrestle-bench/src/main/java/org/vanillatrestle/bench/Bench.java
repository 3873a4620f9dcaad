package org.vanillatrestle.bench;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;

import org.apache.commons.cli.ParseException;
import org.vanillatrestle.bench.internal.command.DemoCommand;
import org.vanillatrestle.bench.internal.command.EngineCommand;
import org.vanillatrestle.bench.internal.command.ExperimentSubcommand;
import org.vanillatrestle.bench.internal.command.LatencyCommand;
import org.vanillatrestle.bench.internal.command.LoadCommand;
import org.vanillatrestle.bench.internal.command.MeasureCommand;
import org.vanillatrestle.bench.internal.command.ServiceCommand;
import org.vanillatrestle.bench.internal.command.SettingsCommand;
import org.vanillatrestle.bench.internal.log.LogBenchmark;
import org.vanillatrestle.bench.internal.peer.IdleCost;
import org.vanillatrestle.bench.internal.peer.LinkCost;
import org.vanillatrestle.bench.internal.spread.SpreadBenchmark;
import org.vanillatrestle.bench.internal.state.StateBench;
import org.vanillatrestle.daemon.internal.logging.LoggingSetup;
import org.vanillatrestle.daemon.internal.settings.LogFormat;

/**
 * The bench's main class, which hands over to a subcommand.
 * <p>
 * Stateless and thread safe.
 */
public final class Bench {

	private static final List<BenchCommand> COMMANDS = List.of(new EngineCommand(), new ServiceCommand(),
			new LoadCommand(), new SettingsCommand(), new LatencyCommand(), new DemoCommand(),
			new ExperimentSubcommand(),
			new MeasureCommand("spread", "measures how fast contract changes are in force everywhere",
					SpreadBenchmark::run),
			new MeasureCommand("log", "measures the replicated log: FOLDER MILLIS", LogBenchmark::run),
			new MeasureCommand("state", "measures contract book and once ledger", StateBench::main),
			new MeasureCommand("peer-idle", "measures what an idle VM sends", IdleCost::main),
			new MeasureCommand("peer-link", "measures forwarded requests over one link", LinkCost::main));

	private Bench() {
	}

	/**
	 * Runs a subcommand and exits with its code.
	 * @param args the subcommand's name and its arguments
	 */
	public static void main(String[] args) {
		LoggingSetup.apply(LogFormat.TEXT, "WARN", System.err);
		System.exit(run(args, System.out, System.err));
	}

	/**
	 * Runs a subcommand.
	 * @param args the subcommand's name and its arguments
	 * @param out where results go
	 * @param err where errors go
	 * @return the exit code
	 */
	public static int run(String[] args, PrintStream out, PrintStream err) {
		if (args.length == 0 || args[0].equals("--help") || args[0].equals("help")) {
			printHelp(out);
			return (args.length == 0) ? BenchCommand.WRONG_USAGE : BenchCommand.OK;
		}
		for (BenchCommand command : COMMANDS) {
			if (command.name().equals(args[0])) {
				return run(command, Arrays.copyOfRange(args, 1, args.length), out, err);
			}
		}
		err.println("vanillatrestle-bench: '" + args[0] + "' is no subcommand. Try --help.");
		return BenchCommand.WRONG_USAGE;
	}

	private static int run(BenchCommand command, String[] args, PrintStream out, PrintStream err) {
		try {
			return command.run(args, out, err);
		}
		catch (ParseException ex) {
			err.println("vanillatrestle-bench " + command.name() + ": " + ex.getMessage());
			return BenchCommand.WRONG_USAGE;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return BenchCommand.FAILED;
		}
		catch (Exception ex) {
			err.println("vanillatrestle-bench " + command.name() + ": " + ex);
			return BenchCommand.FAILED;
		}
	}

	private static void printHelp(PrintStream out) {
		out.println("usage: vanillatrestle-bench SUBCOMMAND [OPTIONS]");
		out.println();
		for (BenchCommand command : COMMANDS) {
			out.printf("  %-12s %s%n", command.name(), command.summary());
		}
		out.println();
		out.println("Each subcommand explains its options with --help.");
	}

}
