package org.vanillatrestle.daemon.internal.cli;

import java.io.PrintStream;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.commons.cli.CommandLine;

/**
 * A command that reads one document and prints it.
 * <p>
 * Stateless and thread safe. Warns where the answer may not be the latest.
 */
abstract class ReadCommand extends OperatorCommand {

	ReadCommand(String name, String usage) {
		super(name, usage);
	}

	@Override
	final ExitCode execute(CommandLine line, OperatorClient client, Output output, PrintStream err)
			throws CommandFault {
		ClientAnswer answer = client.get(target(line));
		if (!answer.isOk()) {
			throw answer.toFault();
		}
		if (!answer.body().path("latest").asBoolean(true)) {
			err.println("Warning: this VM has had no leader of the contract book for "
					+ answer.body().path("leaderlessMillis").asLong() + " ms; what it shows may not be the latest.");
		}
		print(answer.body(), output);
		return ExitCode.OK;
	}

	/**
	 * Says what to read.
	 * @param line the command line
	 * @return the path with its query
	 */
	abstract String target(CommandLine line);

	/**
	 * Prints what was read.
	 * @param document the document
	 * @param output where it goes
	 */
	abstract void print(JsonNode document, Output output);

}
