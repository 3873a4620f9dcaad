package org.vanillatrestle.internal.retry;

/**
 * The answers in progress of which callers have a part. They keep a share of a retry
 * budget for their continuations: breaking them off wastes more than a new request that
 * is refused.
 * <p>
 * The share is never larger than the number of these answers. Not thread safe.
 */
public final class BegunAnswers {

	/**
	 * Maximum fraction of a retry budget that only begun answers may use.
	 */
	private static final double RESERVED_FRACTION = 0.25;

	private int count;

	public void began() {
		this.count++;
	}

	/**
	 * Notes that an answer has ended. Has no effect if none is known, as those of a
	 * budget that was removed are not.
	 */
	public void ended() {
		this.count = Math.max(0, this.count - 1);
	}

	/**
	 * Returns the retries that are kept from other requests.
	 * @param budget the retries of the whole budget
	 * @return the number of retries
	 */
	public double reserved(double budget) {
		return Math.min(RESERVED_FRACTION * budget, this.count);
	}

}
