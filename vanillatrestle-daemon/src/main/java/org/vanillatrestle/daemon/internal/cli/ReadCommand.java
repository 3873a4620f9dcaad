package org.vanillatrestle.daemon.internal.cli;

import java.io.PrintStream;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.commons.cli.CommandLine;

/**
 * Base class of the commands that read one document and print it.
 * <p>
 * Stateless and thread safe. Prints a warning if the document may be out of date.
 */
abstract class ReadCommand extends OperatorCommand {

	ReadCommand(String name, String usage) {
		super(name, usage);
	}

	@Override
	final ExitCode execute(CommandLine line, OperatorClient client, Output output, PrintStream err)
			throws CommandException {
		ClientResponse response = client.get(path(line));
		if (!response.isOk()) {
			throw response.toException();
		}
		if (!response.body().path("latest").asBoolean(true)) {
			err.println("Warning: this VM has had no leader of the contract book for "
					+ response.body().path("leaderlessMillis").asLong() + " ms; the result may be out of date.");
		}
		print(response.body(), output);
		return ExitCode.OK;
	}

	/**
	 * Returns the path and query of the document to read.
	 * @param line the command line
	 * @return the path and query
	 */
	abstract String path(CommandLine line);

	/**
	 * Prints the document.
	 * @param document the document that was read
	 * @param output the output to print to
	 */
	abstract void print(JsonNode document, Output output);

}
