package org.vanillatrestle.bench.internal.state;

/**
 * A straight line through measured points, by least squares.
 * <p>
 * Immutable and thread safe.
 *
 * @param perUnit the rise for each unit
 * @param base the value at 0
 * @param determination the share of the variance that the line explains, at most 1
 */
record Slope(double perUnit, double base, double determination) {

	static Slope of(double[] units, double[] values) {
		double meanUnit = mean(units);
		double meanValue = mean(values);
		double covariance = 0;
		double variance = 0;
		double total = 0;
		for (int i = 0; i < units.length; i++) {
			covariance += (units[i] - meanUnit) * (values[i] - meanValue);
			variance += (units[i] - meanUnit) * (units[i] - meanUnit);
			total += (values[i] - meanValue) * (values[i] - meanValue);
		}
		double perUnit = covariance / variance;
		return new Slope(perUnit, meanValue - perUnit * meanUnit, perUnit * covariance / total);
	}

	private static double mean(double[] values) {
		double sum = 0;
		for (double value : values) {
			sum += value;
		}
		return sum / values.length;
	}

	@Override
	public String toString() {
		return String.format("%.1f per unit + %.0f (R2 %.4f)", this.perUnit, this.base, this.determination);
	}

}
