package org.vanillatrestle.daemon.internal.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.vanillatrestle.Names;

/**
 * Base class of the commands that send requests to a deployment as an operator.
 * <p>
 * Stateless and thread safe. Subclasses define their options, the checks of their
 * arguments and the execution.
 */
abstract class OperatorCommand implements Command {

	private static final int HELP_COLUMNS = 100;

	private final String name;

	private final String usage;

	OperatorCommand(String name, String usage) {
		this.name = name;
		this.usage = usage;
	}

	@Override
	public final String name() {
		return this.name;
	}

	@Override
	public final int run(String[] args, PrintStream out, PrintStream err) {
		Options options = options();
		try {
			CommandLine line = new DefaultParser().parse(options, args);
			if (line.hasOption("help")) {
				printHelp(options, out);
				return ExitCode.OK.value();
			}
			return run(line, out, err).value();
		}
		catch (ParseException ex) {
			err.println("vanillatrestle " + this.name + ": " + ex.getMessage() + "; see --help");
			return ExitCode.INVALID.value();
		}
		catch (CommandException ex) {
			err.println("vanillatrestle " + this.name + ": " + ex.getMessage());
			return ex.exitCode().value();
		}
	}

	private ExitCode run(CommandLine line, PrintStream out, PrintStream err) throws ParseException, CommandException {
		String format = line.getOptionValue("output", "text");
		if (!List.of("text", "json").contains(format)) {
			throw new ParseException("--output is text or json, not '" + format + "'");
		}
		check(line);
		try (OperatorClient client = client(line)) {
			return execute(line, client, new Output(out, "json".equals(format)), err);
		}
	}

	private static OperatorClient client(CommandLine line) throws ParseException, CommandException {
		if (!line.hasOption("server") || !line.hasOption("key-file")) {
			throw new ParseException("the options --server and --key-file are required");
		}
		return new OperatorClient(ServerAddresses.parseAll(line.getOptionValue("server")),
				readKey(Path.of(line.getOptionValue("key-file"))));
	}

	static String readKey(Path file) throws CommandException {
		try {
			String key = Files.readString(file).strip();
			if (key.isEmpty() || !key.chars().allMatch((c) -> c > ' ' && c < 127)) {
				throw new CommandException(ExitCode.INVALID,
						"the key file " + file + " must contain exactly one key of printable ASCII characters");
			}
			return key;
		}
		catch (IOException ex) {
			throw new CommandException(ExitCode.INVALID, "the key file " + file + " can't be read");
		}
	}

	private Options options() {
		Options options = new Options();
		addOptions(options);
		options.addOption(optionWithValue("server", "URL[,URL]", "VMs to ask, in order"));
		options.addOption(optionWithValue("key-file", "FILE", "file that holds the operator's key"));
		options.addOption(optionWithValue("output", "FORMAT", "text (default) or json"));
		options.addOption(Option.builder().longOpt("help").desc("print this help").build());
		return options;
	}

	static Option optionWithValue(String name, String value, String description) {
		return Option.builder().longOpt(name).hasArg().argName(value).desc(description).build();
	}

	private void printHelp(Options options, PrintStream out) {
		PrintWriter writer = new PrintWriter(out);
		new HelpFormatter().printHelp(writer, HELP_COLUMNS,
				"vanillatrestle " + this.name + " " + this.usage + " --server URL[,URL] --key-file FILE", null, options,
				2, 2, null);
		writer.flush();
	}

	static String requireCustomer(CommandLine line) throws ParseException {
		if (line.getArgList().size() != 1 || !Names.isValid(line.getArgList().get(0))) {
			throw new ParseException("exactly one customer name is expected");
		}
		return line.getArgList().get(0);
	}

	static void requireNoArguments(CommandLine line) throws ParseException {
		if (!line.getArgList().isEmpty()) {
			throw new ParseException("'" + line.getArgList().get(0) + "' is an unexpected argument");
		}
	}

	/**
	 * Adds the options of this command.
	 * @param options the options to add to
	 */
	void addOptions(Options options) {
	}

	/**
	 * Checks the command line before any connection is opened.
	 * @param line the command line
	 * @throws ParseException if the command line is invalid
	 */
	abstract void check(CommandLine line) throws ParseException;

	/**
	 * Executes the command.
	 * @param line the command line
	 * @param client the client for the deployment
	 * @param output the output for results
	 * @param err the stream for warnings
	 * @return the exit code
	 * @throws CommandException if the command fails
	 */
	abstract ExitCode execute(CommandLine line, OperatorClient client, Output output, PrintStream err)
			throws CommandException;

}
