package org.vanillatrestle.daemon.internal.cli;

import java.io.PrintStream;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * {@code contract remove}: removes a contract. The removal is itself a new revision.
 * <p>
 * Stateless and thread safe.
 */
final class ContractRemoveCommand extends OperatorCommand {

	ContractRemoveCommand() {
		super("contract remove", "CUSTOMER --revision N");
	}

	@Override
	void addOptions(Options options) {
		options.addOption(optionWithValue("revision", "N", "the removal's number, one above the revision in force"));
	}

	@Override
	void check(CommandLine line) throws ParseException {
		requireCustomer(line);
		if (!line.getOptionValue("revision", "").matches("[1-9][0-9]{0,17}")) {
			throw new ParseException("--revision N is required and must be one above the revision in force");
		}
	}

	@Override
	ExitCode execute(CommandLine line, OperatorClient client, Output output, PrintStream err) throws CommandException {
		String customer = line.getArgList().get(0);
		String path = "/v1/contracts/" + customer + "?revision=" + line.getOptionValue("revision");
		ClientResponse response = client.change("DELETE", path, "");
		if (!response.isOk()) {
			throw response.toException();
		}
		if (output.isJson()) {
			output.printJson(response.body());
		}
		else {
			output.printLine(customer + ": removed with revision " + response.body().path("revision").asText());
		}
		return ExitCode.OK;
	}

}
