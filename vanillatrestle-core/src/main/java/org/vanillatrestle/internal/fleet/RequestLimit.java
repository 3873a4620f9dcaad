package org.vanillatrestle.internal.fleet;

/**
 * The request rate that an incarnation of a target takes from all VMs together, as it
 * last stated in an answer.
 * <p>
 * Immutable and thread safe. The VM that reads a changed statement increments the
 * revision, so statements are ordered without a common clock.
 *
 * @param revision the number of statements known that differ from the one before, 0 if no
 * VM is known to have had an answer of the target yet
 * @param requestsPerSecond the rate, {@link Double#POSITIVE_INFINITY} if there is no
 * limit
 */
public record RequestLimit(long revision, double requestsPerSecond) {

	/**
	 * The limit of a target that has not answered yet.
	 */
	public static final RequestLimit NONE = new RequestLimit(0, Double.POSITIVE_INFINITY);

	/**
	 * Tells whether the rate is limited.
	 * @return whether there is a limit
	 */
	public boolean isFinite() {
		return Double.isFinite(this.requestsPerSecond);
	}

	/**
	 * Tells whether an answer of the target has stated a limit or that there is none.
	 * @return whether the limit is known
	 */
	public boolean isStated() {
		return this.revision > 0;
	}

	/**
	 * Tells whether a statement says something new.
	 * @param statedPerSecond the stated rate in requests per second,
	 * {@link Double#POSITIVE_INFINITY} if there is no limit
	 * @return whether it is the first statement or differs from the last one
	 */
	public boolean isChangedBy(double statedPerSecond) {
		return !isStated() || this.requestsPerSecond != statedPerSecond;
	}

	/**
	 * Returns the limit after a changed statement of the target.
	 * @param changedPerSecond the stated rate in requests per second
	 * @return the limit, with the next revision
	 */
	RequestLimit changedTo(double changedPerSecond) {
		return new RequestLimit(this.revision + 1, changedPerSecond);
	}

	/**
	 * Returns the later of two limits of one incarnation. Of two limits that VMs read at
	 * the same time, it is the stricter one.
	 * @param other the other limit
	 * @return the later limit
	 */
	RequestLimit orLater(RequestLimit other) {
		if (this.revision != other.revision) {
			return (this.revision > other.revision) ? this : other;
		}
		return (this.requestsPerSecond <= other.requestsPerSecond) ? this : other;
	}

}
