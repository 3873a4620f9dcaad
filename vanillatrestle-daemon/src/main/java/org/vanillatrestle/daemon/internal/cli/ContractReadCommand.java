package org.vanillatrestle.daemon.internal.cli;

import java.util.function.BiConsumer;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.ParseException;

/**
 * The commands that read contracts: {@code contract get}, {@code list}, {@code history}
 * and {@code status}.
 * <p>
 * Stateless and thread safe.
 */
final class ContractReadCommand extends ReadCommand {

	private final boolean singleCustomer;

	private final String suffix;

	private final BiConsumer<JsonNode, Output> printer;

	private ContractReadCommand(String verb, boolean singleCustomer, String suffix,
			BiConsumer<JsonNode, Output> printer) {
		super("contract " + verb, singleCustomer ? "CUSTOMER" : "");
		this.singleCustomer = singleCustomer;
		this.suffix = suffix;
		this.printer = printer;
	}

	static ContractReadCommand get() {
		return new ContractReadCommand("get", true, "", ContractReadCommand::printContract);
	}

	static ContractReadCommand list() {
		return new ContractReadCommand("list", false, "", (document, output) -> output.printTable(document,
				document.path("contracts"), "customer", "revision", "removed", "index"));
	}

	static ContractReadCommand history() {
		return new ContractReadCommand("history", true, "/history", (document, output) -> output.printTable(document,
				document.path("revisions"), "revision", "at", "operator", "removed", "sha256"));
	}

	static ContractReadCommand status() {
		return new ContractReadCommand("status", true, "/status", ContractReadCommand::printStatus);
	}

	private static void printContract(JsonNode document, Output output) {
		if (output.isJson()) {
			output.printJson(document);
		}
		else if (document.path("removed").asBoolean()) {
			output.printLine(document.path("customer").asText() + " was removed with revision "
					+ document.path("revision").asText());
		}
		else {
			output.printJson(document.path("contract"));
		}
	}

	private static void printStatus(JsonNode document, Output output) {
		if (!output.isJson()) {
			output.printLine(document.path("customer").asText() + " revision " + document.path("revision").asText()
					+ (document.path("removed").asBoolean() ? " (removed)" : ""));
		}
		output.printTable(document, document.path("regions"), "region", "revision", "reachable", "unreachableSince");
	}

	@Override
	void check(CommandLine line) throws ParseException {
		if (this.singleCustomer) {
			requireCustomer(line);
		}
		else {
			requireNoArguments(line);
		}
	}

	@Override
	String path(CommandLine line) {
		return this.singleCustomer ? "/v1/contracts/" + line.getArgList().get(0) + this.suffix : "/v1/contracts";
	}

	@Override
	void print(JsonNode document, Output output) {
		this.printer.accept(document, output);
	}

}
