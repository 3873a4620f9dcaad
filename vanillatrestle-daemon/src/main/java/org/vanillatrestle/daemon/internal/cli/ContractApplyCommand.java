package org.vanillatrestle.daemon.internal.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * {@code contract apply}: applies a contract file or all contract files of a directory.
 * <p>
 * Stateless and thread safe. All files are validated before the first is sent. The
 * command can be run again after any interruption: contracts that are already in force
 * are reported as unchanged.
 */
final class ContractApplyCommand extends OperatorCommand {

	ContractApplyCommand() {
		super("contract apply", "-f FILE|DIR");
	}

	@Override
	void addOptions(Options options) {
		options.addOption(Option.builder("f")
			.longOpt("file")
			.hasArg()
			.argName("FILE|DIR")
			.desc("a contract, or a directory whose files *.json are applied in the order of their names")
			.build());
	}

	@Override
	void check(CommandLine line) throws ParseException {
		requireNoArguments(line);
		if (!line.hasOption("f")) {
			throw new ParseException("the option -f FILE|DIR is required");
		}
	}

	@Override
	ExitCode execute(CommandLine line, OperatorClient client, Output output, PrintStream err) throws CommandException {
		Map<ContractFile, ApplyResult> results = new LinkedHashMap<>();
		ContractApplier applier = new ContractApplier(client);
		String unreachableMessage = "";
		for (ContractFile file : ContractFile.readAll(Path.of(line.getOptionValue("f")))) {
			ApplyResult result = new ApplyResult(ApplyResult.Kind.NOT_SENT, unreachableMessage);
			if (unreachableMessage.isEmpty()) {
				result = apply(applier, file);
				unreachableMessage = (result.kind() == ApplyResult.Kind.NOT_SENT) ? result.detail() : "";
			}
			results.put(file, result);
			if (!output.isJson()) {
				output.printLine(file.file() + ": " + file.contract() + " " + result);
			}
		}
		if (output.isJson()) {
			output.printJson(toJson(results));
		}
		return worstExitCode(results);
	}

	private static ApplyResult apply(ContractApplier applier, ContractFile file) throws CommandException {
		try {
			return applier.apply(file.contract());
		}
		catch (CommandException ex) {
			if (ex.exitCode() != ExitCode.UNREACHABLE) {
				throw ex;
			}
			return new ApplyResult(ApplyResult.Kind.NOT_SENT, ex.getMessage());
		}
	}

	private static ObjectNode toJson(Map<ContractFile, ApplyResult> results) {
		ObjectNode top = JsonNodeFactory.instance.objectNode();
		ArrayNode files = top.putArray("files");
		results.forEach((file, result) -> {
			ObjectNode node = files.addObject();
			node.put("file", file.file().toString());
			node.put("customer", file.contract().customer().value());
			node.put("revision", file.contract().revision());
			node.put("outcome", result.kind().name());
			node.put("detail", result.detail());
		});
		return top;
	}

	private static ExitCode worstExitCode(Map<ContractFile, ApplyResult> results) {
		return results.values()
			.stream()
			.map(ApplyResult::kind)
			.max(Comparator.naturalOrder())
			.map(ApplyResult.Kind::exitCode)
			.orElse(ExitCode.OK);
	}

}
