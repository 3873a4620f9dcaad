package org.vanillatrestle.internal.gateway;

/**
 * The pace at which the answers of a service have to be made so that long answers end
 * before their deadlines, measured from its requests.
 * <p>
 * Not thread safe.
 */
final class AnswerPace {

	private static final double NEW_SAMPLE_WEIGHT = 0.05;

	/**
	 * The share of the requests whose answers are longer, for their time, than the pace
	 * allows for.
	 */
	private static final double LONGER_SHARE = 0.05;

	/**
	 * The relative change of the pace with each request that is longer.
	 */
	private static final double ADJUSTMENT = 0.05;

	// negative until measured
	private double requiredMillisPerToken = -1;

	private double tokensPerEvent = -1;

	/**
	 * Records a request that was sent.
	 * @param shape the request
	 */
	void recordRequest(RequestShape shape) {
		if (shape.maxOutputTokens() <= 0 || shape.timeoutMillis() == RequestShape.NO_TIMEOUT) {
			return;
		}
		double required = (double) shape.timeoutMillis() / shape.maxOutputTokens();
		if (this.requiredMillisPerToken < 0) {
			this.requiredMillisPerToken = required;
		}
		else if (required < this.requiredMillisPerToken) {
			this.requiredMillisPerToken *= 1 - ADJUSTMENT * (1 - LONGER_SHARE);
		}
		else {
			this.requiredMillisPerToken *= 1 + ADJUSTMENT * LONGER_SHARE;
		}
	}

	/**
	 * Records a complete answer.
	 * @param maxOutputTokens the stated most tokens of the answer, 0 if not stated
	 * @param events the events of its stream
	 */
	void recordAnswer(int maxOutputTokens, int events) {
		if (maxOutputTokens <= 0 || events <= 1) {
			return;
		}
		double sample = (double) maxOutputTokens / events;
		this.tokensPerEvent = (this.tokensPerEvent < 0) ? sample
				: this.tokensPerEvent + NEW_SAMPLE_WEIGHT * (sample - this.tokensPerEvent);
	}

	/**
	 * Compares the pace of a target with the pace that long answers need.
	 * @param eventMillis the mean time in milliseconds between two events of a stream
	 * @return the time that long answers take as a share of the time that they have, 0 if
	 * unknown
	 */
	double usedTimeShare(double eventMillis) {
		boolean known = this.requiredMillisPerToken > 0 && this.tokensPerEvent > 0;
		return known ? eventMillis / (this.tokensPerEvent * this.requiredMillisPerToken) : 0;
	}

}
