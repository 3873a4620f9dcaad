package org.vanillatrestle.bench.internal.command;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.vanillatrestle.bench.BenchCommand;

/**
 * The options of one subcommand and the arguments given for them.
 * <p>
 * Not thread safe.
 */
final class Arguments {

	private static final int HELP_WIDTH = 100;

	private final Options options = new Options().addOption(null, "help", false, "explains the options");

	private CommandLine line;

	/**
	 * Adds an option with a value.
	 * @param name its long name
	 * @param value what to call the value
	 * @param description what it does
	 * @return this
	 */
	Arguments option(String name, String value, String description) {
		this.options.addOption(Option.builder().longOpt(name).hasArg().argName(value).desc(description).build());
		return this;
	}

	/**
	 * Adds an option without a value.
	 * @param name its long name
	 * @param description what it does
	 * @return this
	 */
	Arguments flag(String name, String description) {
		this.options.addOption(null, name, false, description);
		return this;
	}

	/**
	 * Parses the arguments and prints the help if it is asked for.
	 * @param command the subcommand
	 * @param args its arguments
	 * @param out where the help goes
	 * @return whether the subcommand is to run
	 * @throws ParseException if the arguments are wrong
	 */
	boolean parse(BenchCommand command, String[] args, PrintStream out) throws ParseException {
		this.line = new DefaultParser().parse(this.options, args);
		if (!this.line.getArgList().isEmpty()) {
			throw new ParseException("'" + this.line.getArgList().get(0) + "' is no option. Try --help.");
		}
		if (this.line.hasOption("help")) {
			printHelp(command, out);
			return false;
		}
		return true;
	}

	private void printHelp(BenchCommand command, PrintStream out) {
		PrintWriter writer = new PrintWriter(out);
		new HelpFormatter().printHelp(writer, HELP_WIDTH, "vanillatrestle-bench " + command.name(), command.summary(),
				this.options, HelpFormatter.DEFAULT_LEFT_PAD, HelpFormatter.DEFAULT_DESC_PAD, "", true);
		writer.flush();
	}

	boolean has(String name) {
		return this.line.hasOption(name);
	}

	String text(String name, String defaultValue) {
		return this.line.getOptionValue(name, defaultValue);
	}

	String required(String name) throws ParseException {
		if (!has(name)) {
			throw new ParseException("--" + name + " is missing. Try --help.");
		}
		return text(name, "");
	}

	long number(String name, long defaultValue) throws ParseException {
		String value = text(name, Long.toString(defaultValue));
		try {
			return Long.parseLong(value);
		}
		catch (NumberFormatException ex) {
			throw new ParseException("--" + name + " expects a whole number, but is '" + value + "'");
		}
	}

	List<String> list(String name) {
		String value = text(name, "");
		return value.isEmpty() ? List.of() : List.of(value.split(","));
	}

}
