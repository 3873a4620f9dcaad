package org.vanillatrestle.daemon.internal.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Prints results as text or JSON.
 * <p>
 * Not thread safe.
 */
final class Output {

	private final PrintStream out;

	private final boolean jsonFormat;

	Output(PrintStream out, boolean jsonFormat) {
		this.out = out;
		this.jsonFormat = jsonFormat;
	}

	boolean isJson() {
		return this.jsonFormat;
	}

	void printJson(JsonNode document) {
		this.out.println(document.toPrettyString());
	}

	void printLine(String text) {
		this.out.println(text);
	}

	/**
	 * Prints the whole document in the JSON format, or an array of it as a table in the
	 * text format.
	 * @param document the whole document
	 * @param rows the array within the document, one element for each row
	 * @param columns the names of the fields to print, one for each column
	 */
	void printTable(JsonNode document, JsonNode rows, String... columns) {
		if (this.jsonFormat) {
			printJson(document);
			return;
		}
		List<String[]> cells = new ArrayList<>();
		cells.add(columns);
		rows.forEach((row) -> cells.add(cells(row, columns)));
		int[] widths = widths(cells, columns.length);
		cells.forEach((row) -> this.out.println(format(row, widths)));
	}

	private static String[] cells(JsonNode row, String[] columns) {
		String[] cells = new String[columns.length];
		for (int i = 0; i < columns.length; i++) {
			cells[i] = row.path(columns[i]).asText("-");
		}
		return cells;
	}

	private static int[] widths(List<String[]> cells, int columns) {
		int[] widths = new int[columns];
		for (String[] row : cells) {
			for (int i = 0; i < columns; i++) {
				widths[i] = Math.max(widths[i], row[i].length());
			}
		}
		return widths;
	}

	private static String format(String[] row, int[] widths) {
		StringBuilder line = new StringBuilder();
		for (int i = 0; i < row.length; i++) {
			line.append(row[i]).append(" ".repeat(widths[i] - row[i].length() + 2));
		}
		return line.toString().stripTrailing();
	}

}
