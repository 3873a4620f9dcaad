package org.vanillatrestle.daemon.internal.cli;

import java.io.PrintStream;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * {@code contract remove}: ends a contract; the removal is a revision too.
 * <p>
 * Stateless and thread safe.
 */
final class ContractRemoveCommand extends OperatorCommand {

	ContractRemoveCommand() {
		super("contract remove", "CUSTOMER --revision N");
	}

	@Override
	void addOptions(Options options) {
		options.addOption(withValue("revision", "N", "the removal's number, one above the revision in force"));
	}

	@Override
	void check(CommandLine line) throws ParseException {
		customer(line);
		if (!line.getOptionValue("revision", "").matches("[1-9][0-9]{0,17}")) {
			throw new ParseException("--revision N is needed, one above the revision in force");
		}
	}

	@Override
	ExitCode execute(CommandLine line, OperatorClient client, Output output, PrintStream err) throws CommandFault {
		String customer = line.getArgList().get(0);
		String target = "/v1/contracts/" + customer + "?revision=" + line.getOptionValue("revision");
		ClientAnswer answer = client.change("DELETE", target, "");
		if (!answer.isOk()) {
			throw answer.toFault();
		}
		if (output.isJson()) {
			output.json(answer.body());
		}
		else {
			output.line(customer + ": removed with revision " + answer.body().path("revision").asText());
		}
		return ExitCode.OK;
	}

}
