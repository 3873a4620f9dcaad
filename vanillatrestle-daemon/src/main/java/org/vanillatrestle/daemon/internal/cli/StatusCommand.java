package org.vanillatrestle.daemon.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.ParseException;

/**
 * {@code status}: shows the status of one VM, its replicas and its peers, as known to
 * that VM.
 * <p>
 * Stateless and thread safe.
 */
final class StatusCommand extends ReadCommand {

	StatusCommand() {
		super("status", "");
	}

	@Override
	void check(CommandLine line) throws ParseException {
		requireNoArguments(line);
	}

	@Override
	String path(CommandLine line) {
		return "/v1/status";
	}

	@Override
	void print(JsonNode document, Output output) {
		if (output.isJson()) {
			output.printJson(document);
			return;
		}
		output.printLine("VM " + document.path("vm").asText() + " of " + document.path("dataCentre").asText() + " in "
				+ document.path("region").asText() + ": " + document.path("contracts").asText() + " contracts at index "
				+ document.path("appliedIndex").asText());
		printReplica("contract book", document.path("contractBook"), output);
		printReplica("once ledger", document.path("onceLedger"), output);
		output.printTable(document, document.path("members"), "vm", "status", "appliedIndex");
		output.printTable(document, document.path("regions"), "region", "reachable", "sinceMillis");
	}

	private static void printReplica(String name, JsonNode replica, Output output) {
		if (replica.isMissingNode()) {
			return;
		}
		output.printLine(name + ": " + replica.path("role").asText() + " in term " + replica.path("term").asText()
				+ ", leader " + replica.path("leader").asText("unknown") + ", commit index "
				+ replica.path("commitIndex").asText() + replica.path("failure").asText());
	}

}
