package org.vanillatrestle.bench.internal.experiment;

import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/**
 * A figure over several seeds.
 * <p>
 * Immutable and thread safe.
 *
 * @param mean the mean
 * @param min the least
 * @param max the greatest
 */
record Spread(double mean, double min, double max) {

	static Spread of(List<RunResult> runs, ToDoubleFunction<RunResult> figure) {
		double mean = runs.stream().mapToDouble(figure).average().orElse(0);
		double min = runs.stream().mapToDouble(figure).min().orElse(0);
		double max = runs.stream().mapToDouble(figure).max().orElse(0);
		return new Spread(mean, min, max);
	}

	@Override
	public String toString() {
		String format = (Math.abs(this.max) < 10) ? "%.2f (%.2f-%.2f)" : "%.0f (%.0f-%.0f)";
		return String.format(Locale.ROOT, format, this.mean, this.min, this.max);
	}

}
