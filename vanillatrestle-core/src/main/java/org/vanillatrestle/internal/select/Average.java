package org.vanillatrestle.internal.select;

/**
 * An exponentially weighted moving average.
 * <p>
 * Not thread safe.
 */
final class Average {

	private final double weight;

	private double value;

	private boolean empty = true;

	Average(double weight) {
		this.weight = weight;
	}

	void add(double sample) {
		this.value = this.empty ? sample : this.value + this.weight * (sample - this.value);
		this.empty = false;
	}

	double orElse(double defaultValue) {
		return this.empty ? defaultValue : this.value;
	}

}
