package org.vanillatrestle.daemon.internal.cli;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.vanillatrestle.Names;

/**
 * {@code audit}: lists changes of contracts with the operators who made them, and changes
 * in the membership of VMs.
 * <p>
 * Stateless and thread safe.
 */
final class AuditCommand extends ReadCommand {

	private static final Pattern AGE_PATTERN = Pattern.compile("([1-9][0-9]{0,5})([mhd])");

	AuditCommand() {
		super("audit", "[--since TIME] [--customer CUSTOMER]");
	}

	@Override
	void addOptions(Options options) {
		options.addOption(optionWithValue("since", "TIME", "an age such as 30m, 24h or 7d, or 2026-11-30T08:00:00Z"));
		options.addOption(optionWithValue("customer", "CUSTOMER", "only records of this customer"));
	}

	@Override
	void check(CommandLine line) throws ParseException {
		requireNoArguments(line);
		since(line);
		if (line.hasOption("customer") && !Names.isValid(line.getOptionValue("customer"))) {
			throw new ParseException("--customer is not a valid name");
		}
	}

	private static Instant since(CommandLine line) throws ParseException {
		String text = line.getOptionValue("since", "1970-01-01T00:00:00Z");
		Matcher age = AGE_PATTERN.matcher(text);
		try {
			return age.matches() ? Instant.now().minus(toDuration(age)) : Instant.parse(text);
		}
		catch (DateTimeException ex) {
			throw new ParseException(
					"--since must be an age such as 24h or a time such as 2026-11-30T08:00:00Z, not '" + text + "'");
		}
	}

	private static Duration toDuration(Matcher age) {
		long amount = Long.parseLong(age.group(1));
		return switch (age.group(2)) {
			case "m" -> Duration.ofMinutes(amount);
			case "h" -> Duration.ofHours(amount);
			default -> Duration.ofDays(amount);
		};
	}

	@Override
	String path(CommandLine line) {
		try {
			String path = "/v1/audit?since=" + URLEncoder.encode(since(line).toString(), StandardCharsets.UTF_8);
			return line.hasOption("customer") ? path + "&customer=" + line.getOptionValue("customer") : path;
		}
		catch (ParseException ex) {
			throw new IllegalStateException("The command line has already been validated.", ex);
		}
	}

	@Override
	void print(JsonNode document, Output output) {
		if (output.isJson()) {
			output.printJson(document);
			return;
		}
		document.path("records").forEach((record) -> printRecord(record, output));
	}

	private static void printRecord(JsonNode record, Output output) {
		String subject = record.path("customer").asText(record.path("vm").asText());
		String actor = record.path("operator").asText(record.path("reporter").asText());
		String revisions = record.has("customer")
				? " revision " + record.path("fromRevision").asText() + " -> " + record.path("toRevision").asText()
				: "";
		String line = record.path("at").asText() + " " + record.path("event").asText() + " " + subject + revisions
				+ " by " + actor + " " + record.path("detail").asText();
		output.printLine(line.strip());
		record.path("changes")
			.forEach((change) -> output.printLine("    " + change.path("path").asText() + ": "
					+ change.path("before").asText() + " -> " + change.path("after").asText()));
	}

}
