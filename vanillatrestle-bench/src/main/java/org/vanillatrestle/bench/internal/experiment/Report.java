package org.vanillatrestle.bench.internal.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Writes results as JSON, as an HTML page with SVG bars, and as text.
 * <p>
 * Immutable and thread safe.
 */
final class Report {

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	private static final List<Figure> PLOTTED = List.of(Figure.FIRST_P99, Figure.TOTAL_P99, Figure.COST, Figure.GOODPUT,
			Figure.SENT_AWAY, Figure.LOST);

	private static final int BAR_HEIGHT = 18;

	private static final int LABEL_WIDTH = 190;

	private static final int PLOT_WIDTH = 380;

	private final Experiment experiment;

	private final List<CellResult> cells;

	Report(Experiment experiment, List<CellResult> cells) {
		this.experiment = experiment;
		this.cells = List.copyOf(cells);
	}

	String json() throws JsonProcessingException {
		ObjectNode top = MAPPER.createObjectNode();
		top.put("experiment", this.experiment.name());
		top.set("seeds", MAPPER.valueToTree(this.experiment.seeds()));
		for (CellResult cell : this.cells) {
			top.withArray("results")
				.addObject()
				.put("scene", cell.scene())
				.put("policy", cell.policy().name())
				.set("runs", MAPPER.valueToTree(cell.runs()));
		}
		return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(top);
	}

	String text(List<Figure> figures) {
		StringBuilder result = new StringBuilder();
		byScene().forEach((scene, rows) -> {
			result.append(scene).append('\n').append(row("policy", figures.stream().map(Figure::title).toList()));
			for (CellResult cell : rows) {
				result.append(row(cell.policy().name(),
						figures.stream().map((figure) -> cell.spread(figure).toString()).toList()));
			}
		});
		return result.toString();
	}

	private static String row(String name, List<String> values) {
		StringBuilder result = new StringBuilder(String.format(Locale.ROOT, "  %-20s", name));
		values.forEach((value) -> result.append(String.format(Locale.ROOT, " %22s", value)));
		return result.append('\n').toString();
	}

	String html() {
		StringBuilder page = new StringBuilder("<!DOCTYPE html>\n<meta charset=\"utf-8\">\n<title>")
			.append(this.experiment.name())
			.append("</title>\n<style>body{font:14px sans-serif}td,th{padding:2px 8px;text-align:right}"
					+ "td:first-child{text-align:left}svg text{font:11px sans-serif}</style>\n<h1>")
			.append(this.experiment.name())
			.append("</h1>\n<p>Mean over ")
			.append(this.experiment.seeds().size())
			.append(" seeds, least and greatest in brackets.</p>\n");
		byScene().forEach((scene, rows) -> {
			page.append("<h2>").append(scene).append("</h2>\n");
			PLOTTED.forEach((figure) -> page.append(plot(figure, rows)));
			page.append(table(rows));
		});
		return page.toString();
	}

	private static String table(List<CellResult> rows) {
		StringBuilder result = new StringBuilder("<table><tr><th>policy</th>");
		for (Figure figure : Figure.values()) {
			result.append("<th>").append(figure.title()).append("</th>");
		}
		result.append("</tr>\n");
		for (CellResult cell : rows) {
			result.append("<tr><td>").append(cell.policy()).append("</td>");
			for (Figure figure : Figure.values()) {
				result.append("<td>").append(cell.spread(figure)).append("</td>");
			}
			result.append("</tr>\n");
		}
		return result.append("</table>\n").toString();
	}

	private static String plot(Figure figure, List<CellResult> rows) {
		double max = rows.stream().mapToDouble((cell) -> cell.spread(figure).max()).max().orElse(1);
		StringBuilder result = new StringBuilder(
				String.format(Locale.ROOT, "<svg width=\"%d\" height=\"%d\"><text x=\"0\" y=\"12\">%s</text>\n",
						LABEL_WIDTH + PLOT_WIDTH + 120, BAR_HEIGHT * (rows.size() + 1), figure.title()));
		for (int i = 0; i < rows.size(); i++) {
			Spread spread = rows.get(i).spread(figure);
			int y = BAR_HEIGHT * (i + 1);
			double scale = PLOT_WIDTH / Math.max(max, 1e-9);
			result.append(String.format(Locale.ROOT,
					"<text x=\"0\" y=\"%d\">%s</text><rect x=\"%d\" y=\"%d\" width=\"%.1f\" height=\"12\""
							+ " fill=\"%s\"/><line x1=\"%.1f\" x2=\"%.1f\" y1=\"%d\" y2=\"%d\" stroke=\"black\"/>"
							+ "<text x=\"%.1f\" y=\"%d\">%s</text>\n",
					y + 12, rows.get(i).policy(), LABEL_WIDTH, y + 2, spread.mean() * scale,
					rows.get(i).policy().isBaseline() ? "#bbb" : "#4a7", LABEL_WIDTH + spread.min() * scale,
					LABEL_WIDTH + spread.max() * scale, y + 8, y + 8, LABEL_WIDTH + spread.max() * scale + 6, y + 12,
					spread));
		}
		return result.append("</svg>\n").toString();
	}

	private Map<String, List<CellResult>> byScene() {
		Map<String, List<CellResult>> result = new LinkedHashMap<>();
		this.cells.forEach((cell) -> result.computeIfAbsent(cell.scene(), (scene) -> new ArrayList<>()).add(cell));
		return result;
	}

}
