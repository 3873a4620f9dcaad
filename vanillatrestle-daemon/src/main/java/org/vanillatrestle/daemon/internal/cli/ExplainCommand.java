package org.vanillatrestle.daemon.internal.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * {@code explain}: collects the log lines of one request from the structured logs of
 * several processes and prints them in order of time, followed by what was known at that
 * time of the targets and VMs involved.
 */
public final class ExplainCommand implements Command {

	/**
	 * Log lines about the same targets and VMs are printed if they were written at most
	 * this many milliseconds before the last line of the request.
	 */
	private static final long CONTEXT_MILLIS = 10_000;

	private static final JsonMapper JSON = new JsonMapper();

	@Override
	public String name() {
		return "explain";
	}

	@Override
	public int run(String[] args, PrintStream out, PrintStream err) {
		Options options = new Options()
			.addOption(Option.builder().longOpt("request").hasArg().required().desc("the request's id").build());
		try {
			CommandLine line = new DefaultParser().parse(options, args);
			if (line.getArgList().isEmpty()) {
				throw new ParseException("at least one log file is required");
			}
			return explain(line.getOptionValue("request"), line.getArgList(), out);
		}
		catch (ParseException ex) {
			err.println("explain: " + ex.getMessage() + ". Usage: vanillatrestle explain --request ID LOGFILE...");
			return ExitCode.INVALID.value();
		}
		catch (IOException ex) {
			err.println("explain: can't read " + ex.getMessage() + ". Check the path and the permissions.");
			return ExitCode.INVALID.value();
		}
	}

	private static int explain(String request, List<String> files, PrintStream out) throws IOException {
		List<Line> lines = new ArrayList<>();
		for (String file : files) {
			read(Path.of(file), lines);
		}
		lines.sort(Comparator.comparingLong(Line::time));
		List<Line> requestLines = lines.stream().filter((line) -> request.equals(line.text("request"))).toList();
		if (requestLines.isEmpty()) {
			out.println("No log line was found for the request " + request
					+ ". Answered requests are sampled when there are many; see leftOutBefore in the log.");
			return ExitCode.REFUSED.value();
		}
		requestLines.forEach((line) -> out.println(line.format()));
		printContext(requestLines, lines, out);
		return ExitCode.OK.value();
	}

	private static void printContext(List<Line> requestLines, List<Line> lines, PrintStream out) {
		long end = requestLines.get(requestLines.size() - 1).time();
		List<String> names = new ArrayList<>();
		for (Line line : requestLines) {
			for (String field : List.of("target", "at", "vm", "runnerUp")) {
				String name = line.text(field);
				if (name != null && !names.contains(name)) {
					names.add(name);
				}
			}
		}
		out.println("Known state of " + (names.isEmpty() ? "the fleet" : String.join(", ", names)) + ":");
		lines.stream()
			.filter((line) -> line.text("request") == null && line.time() <= end && end - line.time() <= CONTEXT_MILLIS)
			.filter((line) -> isRelated(line, names))
			.forEach((line) -> out.println("  " + line.format()));
		findLast(lines, "declared", end).ifPresent((line) -> out.println("  in force: " + line.format()));
	}

	private static boolean isRelated(Line line, List<String> names) {
		return names.contains(line.text("target")) || names.contains(line.text("peer"))
				|| names.contains(line.text("vm")) || "replica-role".equals(line.text("event"));
	}

	private static Optional<Line> findLast(List<Line> lines, String event, long end) {
		return lines.stream()
			.filter((line) -> event.equals(line.text("event")) && line.time() <= end)
			.reduce((earlier, later) -> later);
	}

	private static void read(Path file, List<Line> lines) throws IOException {
		try (BufferedReader reader = Files.newBufferedReader(file, StandardCharsets.ISO_8859_1)) {
			for (String text = reader.readLine(); text != null; text = reader.readLine()) {
				int start = text.indexOf("{\"time\":");
				if (start >= 0) {
					parse(text, start, file).ifPresent(lines::add);
				}
			}
		}
	}

	private static Optional<Line> parse(String text, int start, Path file) {
		try {
			String prefix = text.substring(0, start).trim();
			String process = prefix.isEmpty() ? String.valueOf(file.getFileName())
					: prefix.substring(prefix.lastIndexOf(' ') + 1);
			return Optional.of(new Line(process, JSON.readTree(text.substring(start))));
		}
		catch (JsonProcessingException ex) {
			return Optional.empty();
		}
	}

	/**
	 * A line of a structured log.
	 *
	 * @param process the name of the process that wrote the line
	 * @param fields the JSON fields of the line
	 */
	private record Line(String process, JsonNode fields) {

		long time() {
			return this.fields.path("time").longValue();
		}

		String text(String name) {
			return this.fields.path(name).isValueNode() ? this.fields.path(name).asText() : null;
		}

		String format() {
			StringBuilder shown = new StringBuilder();
			shown.append(time()).append(' ').append(this.process).append(' ').append(text("event"));
			for (Iterator<Map.Entry<String, JsonNode>> iterator = this.fields.fields(); iterator.hasNext();) {
				Map.Entry<String, JsonNode> field = iterator.next();
				if (!List.of("time", "event").contains(field.getKey())) {
					shown.append(' ').append(field.getKey()).append('=').append(field.getValue().asText());
				}
			}
			return shown.toString();
		}

	}

}
