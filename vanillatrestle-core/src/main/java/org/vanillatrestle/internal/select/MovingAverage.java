package org.vanillatrestle.internal.select;

/**
 * An exponentially weighted moving average. The first sample sets the value; each further
 * sample moves the value towards it by the sample weight times the difference.
 * <p>
 * Not thread safe.
 */
final class MovingAverage {

	private final double sampleWeight;

	private double value;

	private boolean empty = true;

	MovingAverage(double sampleWeight) {
		this.sampleWeight = sampleWeight;
	}

	void add(double sample) {
		this.value = this.empty ? sample : this.value + this.sampleWeight * (sample - this.value);
		this.empty = false;
	}

	double orElse(double defaultValue) {
		return this.empty ? defaultValue : this.value;
	}

}
