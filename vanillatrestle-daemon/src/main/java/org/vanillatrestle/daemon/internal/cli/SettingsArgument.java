package org.vanillatrestle.daemon.internal.cli;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Optional;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.vanillatrestle.InvalidDocumentException;
import org.vanillatrestle.daemon.internal.settings.Settings;
import org.vanillatrestle.daemon.internal.settings.SettingsReader;

/**
 * The option {@code --settings FILE}, which several commands share.
 * <p>
 * Immutable and thread safe.
 */
final class SettingsArgument {

	private static final int HELP_COLUMNS = 100;

	private final Settings settings;

	private final int exitCode;

	private SettingsArgument(Settings settings, int exitCode) {
		this.settings = settings;
		this.exitCode = exitCode;
	}

	/**
	 * Reads and checks the settings.
	 * @param command the name of the command, for the help text
	 * @param args the command's arguments
	 * @param out the stream for the help text
	 * @param err the stream for error messages
	 * @return the settings, or the exit code if the command must end without them
	 */
	static SettingsArgument read(String command, String[] args, PrintStream out, PrintStream err) {
		Options options = new Options();
		options.addOption(Option.builder().longOpt("settings").hasArg().argName("FILE").desc("settings file").build());
		options.addOption(Option.builder().longOpt("help").desc("print this help").build());
		try {
			CommandLine line = new DefaultParser().parse(options, args);
			if (line.hasOption("help")) {
				printHelp(command, options, out);
				return new SettingsArgument(null, ExitCode.OK.value());
			}
			if (!line.hasOption("settings") || !line.getArgList().isEmpty()) {
				throw new ParseException("the option --settings FILE is required, without further arguments");
			}
			return new SettingsArgument(SettingsReader.readFile(Path.of(line.getOptionValue("settings"))),
					ExitCode.OK.value());
		}
		catch (ParseException ex) {
			err.println("vanillatrestle " + command + ": " + ex.getMessage() + "; see --help");
		}
		catch (InvalidDocumentException ex) {
			err.println("The settings are invalid. " + ex.getMessage());
		}
		return new SettingsArgument(null, ExitCode.INVALID.value());
	}

	private static void printHelp(String command, Options options, PrintStream out) {
		PrintWriter writer = new PrintWriter(out);
		new HelpFormatter().printHelp(writer, HELP_COLUMNS, "vanillatrestle " + command + " --settings FILE", null,
				options, 2, 2, null);
		writer.flush();
	}

	Optional<Settings> settings() {
		return Optional.ofNullable(this.settings);
	}

	int exitCode() {
		return this.exitCode;
	}

}
