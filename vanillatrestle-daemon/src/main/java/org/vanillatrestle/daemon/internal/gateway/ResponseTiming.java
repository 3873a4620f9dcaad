package org.vanillatrestle.daemon.internal.gateway;

/**
 * Measures when the parts of a response are sent to the caller.
 * <p>
 * Used only on the VM's event loop.
 */
final class ResponseTiming {

	private static final long NONE = -1;

	private long firstPartMillis = NONE;

	private long lastPartMillis;

	private long longestPauseMillis;

	private int parts;

	/**
	 * Records that a part was sent.
	 * @param atMillis the time since the request arrived
	 */
	void recordPart(long atMillis) {
		if (hasFirstPart()) {
			this.longestPauseMillis = Math.max(this.longestPauseMillis, atMillis - this.lastPartMillis);
		}
		else {
			this.firstPartMillis = atMillis;
		}
		this.lastPartMillis = atMillis;
		this.parts++;
	}

	boolean hasFirstPart() {
		return this.firstPartMillis != NONE;
	}

	/**
	 * Returns when the first part was sent.
	 * @return the time since the request arrived, -1 if no part was sent
	 */
	long firstPartMillis() {
		return this.firstPartMillis;
	}

	/**
	 * Returns when the last part was sent.
	 * @return the time since the request arrived, 0 if no part was sent
	 */
	long lastPartMillis() {
		return this.lastPartMillis;
	}

	long longestPauseMillis() {
		return this.longestPauseMillis;
	}

	int parts() {
		return this.parts;
	}

	/**
	 * Returns the average time between two parts.
	 * @return the time in milliseconds, -1 if fewer than two parts were sent
	 */
	long meanPauseMillis() {
		return (this.parts < 2) ? NONE : (this.lastPartMillis - this.firstPartMillis) / (this.parts - 1);
	}

	/**
	 * Checks whether the response met the objectives of its route.
	 * @param objectiveMillis the time objective for the first part
	 * @param pauseObjectiveMillis the objective for the longest pause between two parts
	 * @return whether a part was sent and both objectives were met
	 */
	boolean isWithinObjectives(long objectiveMillis, long pauseObjectiveMillis) {
		return hasFirstPart() && this.firstPartMillis <= objectiveMillis
				&& this.longestPauseMillis <= pauseObjectiveMillis;
	}

}
