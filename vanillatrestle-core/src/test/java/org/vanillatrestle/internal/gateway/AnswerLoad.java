package org.vanillatrestle.internal.gateway;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * The load of a {@link StreamReplay}, read from a file under {@code loads/}. Each line of
 * the file states a rate of requests of one kind, whose lengths vary. Immutable.
 */
record AnswerLoad(List<Line> lines) {

	static AnswerLoad read(String name) throws IOException {
		try (BufferedReader reader = new BufferedReader(new InputStreamReader(
				AnswerLoad.class.getResourceAsStream("/loads/" + name), StandardCharsets.UTF_8))) {
			return new AnswerLoad(reader.lines().filter((line) -> !line.startsWith("#")).map(Line::parse).toList());
		}
	}

	/**
	 * Multiplies the rates of all requests.
	 * @param factor the factor
	 * @return a changed copy
	 */
	AnswerLoad times(double factor) {
		return new AnswerLoad(this.lines.stream().map((line) -> line.times(factor)).toList());
	}

	long endMillis() {
		return this.lines.stream().mapToLong(Line::toMillis).max().orElse(0);
	}

	/**
	 * The rate of requests of one kind in a period, and their properties.
	 */
	record Line(long fromMillis, long toMillis, double perSecond, String kind, int rank, long objectiveMillis,
			long deadlineMillis, double worth, double lateWorth, Length prompt, Length output) {

		static Line parse(String line) {
			String[] columns = line.split(",");
			return new Line(Long.parseLong(columns[0]), Long.parseLong(columns[1]), Double.parseDouble(columns[2]),
					columns[3], Integer.parseInt(columns[4]), Long.parseLong(columns[5]), Long.parseLong(columns[6]),
					Double.parseDouble(columns[7]), Double.parseDouble(columns[8]), Length.parse(columns, 9),
					Length.parse(columns, 12));
		}

		Line times(double factor) {
			return new Line(this.fromMillis, this.toMillis, factor * this.perSecond, this.kind, this.rank,
					this.objectiveMillis, this.deadlineMillis, this.worth, this.lateWorth, this.prompt, this.output);
		}

		/**
		 * Randomly decides whether a request arrives within a time step.
		 */
		boolean arrives(long nowMillis, UniformRandomProvider random) {
			return nowMillis >= this.fromMillis && nowMillis < this.toMillis
					&& random.nextDouble() < this.perSecond / 1_000;
		}

	}

	/**
	 * A length in tokens with a lognormal distribution.
	 */
	record Length(double meanTokens, double spread, int maxTokens) {

		static Length parse(String[] columns, int first) {
			return new Length(Double.parseDouble(columns[first]), Double.parseDouble(columns[first + 1]),
					Integer.parseInt(columns[first + 2]));
		}

		int draw(UniformRandomProvider random) {
			double normal = Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
					* Math.cos(2 * Math.PI * random.nextDouble());
			double tokens = this.meanTokens * Math.exp(this.spread * normal - this.spread * this.spread / 2);
			return (int) Math.max(1, Math.min(this.maxTokens, Math.round(tokens)));
		}

	}

}
