package org.vanillatrestle.internal.gateway;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * The load of a simulation, read from a file under {@code loads/}. Each line of the file
 * states a rate of requests of one kind. Immutable.
 */
record LoadPattern(List<Line> lines) {

	static LoadPattern read(String name) throws IOException {
		try (BufferedReader reader = new BufferedReader(new InputStreamReader(
				LoadPattern.class.getResourceAsStream("/loads/" + name), StandardCharsets.UTF_8))) {
			return new LoadPattern(reader.lines().filter((line) -> !line.startsWith("#")).map(Line::parse).toList());
		}
	}

	long endMillis() {
		return this.lines.stream().mapToLong(Line::toMillis).max().orElse(0);
	}

	/**
	 * The rate of requests of one kind in a period, and their properties.
	 */
	record Line(long fromMillis, long toMillis, double perSecond, String kind, int rank, long objectiveMillis,
			int parts, int sharedTokens, int ownTokens, int outputTokens) {

		static Line parse(String line) {
			String[] columns = line.split(",");
			return new Line(Long.parseLong(columns[0]), Long.parseLong(columns[1]), Double.parseDouble(columns[2]),
					columns[3], Integer.parseInt(columns[4]), Long.parseLong(columns[5]), Integer.parseInt(columns[6]),
					Integer.parseInt(columns[7]), Integer.parseInt(columns[8]), Integer.parseInt(columns[9]));
		}

		/**
		 * Randomly decides whether a request arrives within a time step.
		 */
		boolean arrives(long nowMillis, long stepMillis, UniformRandomProvider random) {
			return nowMillis >= this.fromMillis && nowMillis < this.toMillis
					&& random.nextDouble() < this.perSecond * stepMillis / 1_000;
		}

		List<PromptPart> prompt(UniformRandomProvider random, long number) {
			return List.of(new PromptPart(this.kind + random.nextInt(this.parts), this.sharedTokens),
					new PromptPart(this.kind + "-own-" + number, this.ownTokens));
		}

	}

}
